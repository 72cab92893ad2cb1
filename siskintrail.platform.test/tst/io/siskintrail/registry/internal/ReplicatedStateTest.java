package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.rollout.RolloutCommand;
import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.ServiceName;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Commands and snapshots of builds with and without rollouts. */
class ReplicatedStateTest {
    private static final byte[] CONFIGURATION = NewestConfiguration.command(3, new byte[] {'{'});
    private static final RolloutRecord ROLLOUT =
            new RolloutRecord(
                    new RolloutOrder(new ServiceName("s"), new EndpointVersion("v2"), 12_000),
                    1,
                    7,
                    RolloutRecord.Status.RUNNING);
    private static final byte[] START = ReplicatedState.command(new RolloutCommand.Start(ROLLOUT));
    private static final byte[] END =
            ReplicatedState.command(
                    new RolloutCommand.End(
                            ROLLOUT.order().service(), 1, RolloutRecord.Status.COMPLETED));

    private final List<RolloutRecord> changes = new ArrayList<>();
    private final ReplicatedState state = new ReplicatedState(changes::add);

    /** Guards against snapshots that a build without rollouts cannot read, without need. */
    @Test
    void snapshotWithoutRolloutsIsTheCommandOfTheConfiguration() {
        assertThat(state.apply(CONFIGURATION, 0)).isTrue();

        assertThat(state.image()).isSameInstanceAs(CONFIGURATION);
    }

    @Test
    void snapshotRestoresConfigurationAndRollouts() {
        state.apply(CONFIGURATION, 0);
        state.apply(START, 0);
        state.apply(END, 0);
        ReplicatedState restored = new ReplicatedState(r -> {});

        restored.restore(state.image(), 0);
        assertThat(restored.configuration().version()).isEqualTo(3);
        assertThat(restored.configuration().image()).isEqualTo(CONFIGURATION);
        assertThat(restored.rollouts().rollouts())
                .containsExactly(ROLLOUT.with(RolloutRecord.Status.COMPLETED));
        assertThat(changes)
                .containsExactly(ROLLOUT, ROLLOUT.with(RolloutRecord.Status.COMPLETED))
                .inOrder();
    }

    /** Guards against a build without rollouts that takes a rollout for a configuration. */
    @Test
    void rolloutIsIgnoredByBuildsWithoutRollouts() {
        NewestConfiguration old = new NewestConfiguration();
        old.apply(CONFIGURATION);

        assertThat(old.apply(START)).isFalse();
        assertThat(old.image()).isSameInstanceAs(CONFIGURATION);
    }

    /** Guards against a replay that ends at a command of a later build. */
    @ParameterizedTest
    @ValueSource(longs = {-1, -2, -3, Long.MIN_VALUE})
    void commandOfAnUnknownKindChangesNothing(long kind) {
        state.apply(CONFIGURATION, 0);

        for (int length = 0; length < 40; length++) {
            byte[] command = ByteBuffer.allocate(8 + length).putLong(kind).array();
            assertThat(state.apply(command, 0)).isFalse();
        }
        assertThat(state.image()).isSameInstanceAs(CONFIGURATION);
        assertThat(changes).isEmpty();
    }
}
