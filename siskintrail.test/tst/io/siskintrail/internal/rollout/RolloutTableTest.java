package io.siskintrail.internal.rollout;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.rollout.RolloutRecord.Status;
import io.siskintrail.internal.rollout.RolloutTable.Verdict;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The rollouts of all services, built from the commands of the log. */
class RolloutTableTest {
    private static final ServiceName SERVICE = new ServiceName("s");

    /** Two rollouts of one service and one of another, as the log has them. */
    private static final List<RolloutCommand> LOG =
            List.of(
                    start("s", "v2", 1),
                    start("t", "v9", 1),
                    end("s", 1, Status.ROLLED_BACK),
                    start("s", "v3", 2),
                    end("t", 1, Status.COMPLETED));

    private final RolloutTable table = new RolloutTable();

    /** Guards against a command that is committed twice, or late, and changes a newer rollout. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void commandsThatAreCommittedAgainChangeNothing(int seed) {
        Random random = new Random(seed);
        List<RolloutCommand> repeated = new ArrayList<>();
        for (int i = 0; i < LOG.size(); i++) {
            repeated.add(LOG.get(i));
            for (int j = 0; j < 3; j++) {
                repeated.add(LOG.get(random.nextInt(i + 1)));
            }
        }

        assertThat(after(repeated)).isEqualTo(after(LOG));
    }

    /** Guards against a disk that is opened again and replays old commands onto newer state. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void replayOntoNewerStateChangesNothing(int from) {
        LOG.forEach(c -> table.apply(c, 0));
        List<RolloutRecord> before = table.rollouts();

        for (RolloutCommand c : LOG.subList(from, LOG.size())) {
            assertThat(table.apply(c, 0)).isEmpty();
        }
        assertThat(table.rollouts()).isEqualTo(before);
    }

    /** Guards against a snapshot that loses a rollout, or that undoes a newer one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5})
    void snapshotAndTheRestOfTheLogGiveTheSameState(int length) {
        List<RolloutRecord> snapshot = after(LOG.subList(0, length));

        table.restore(snapshot, 0);
        LOG.subList(length, LOG.size()).forEach(c -> table.apply(c, 0));
        assertThat(table.rollouts()).isEqualTo(after(LOG));
        assertThat(table.restore(snapshot, 0)).isEmpty();
        assertThat(table.rollouts()).isEqualTo(after(LOG));
    }

    @Test
    void rolloutEndsOnce() {
        table.apply(start("s", "v2", 1), 0);

        assertThat(table.apply(end("s", 1, Status.RUNNING), 0)).isEmpty();
        assertThat(table.apply(end("s", 1, Status.COMPLETED), 0)).isPresent();
        assertThat(table.apply(end("s", 1, Status.ROLLED_BACK), 0)).isEmpty();
        assertThat(table.get(SERVICE).orElseThrow().status()).isEqualTo(Status.COMPLETED);
    }

    /** Guards against two orders that are committed at once and both count as started. */
    @Test
    void firstOfTwoStartsWithOneNumberApplies() {
        table.apply(start("s", "v2", 1), 0);

        assertThat(table.apply(start("s", "v3", 1), 0)).isEmpty();
        assertThat(table.apply(start("s", "v3", 2), 0)).isEmpty();
        assertThat(table.judge(order("s", "v3"), 0)).isEqualTo(Verdict.CONFLICT);
    }

    @ParameterizedTest
    @CsvSource({
        "t, v2, RUNNING, 0, STARTABLE",
        "s, v2, RUNNING, 0, ACCEPTED",
        "s, v2, RUNNING, 99999, ACCEPTED",
        "s, v3, RUNNING, 99999, CONFLICT",
        "s, v2, ROLLED_BACK, 9999, ACCEPTED",
        "s, v2, ROLLED_BACK, 10000, STARTABLE",
        "s, v2, COMPLETED, 9999, ACCEPTED",
        "s, v3, COMPLETED, 0, STARTABLE",
    })
    void orderIsJudgedByTheNewestRollout(
            String service, String to, Status status, long millis, Verdict expected) {
        table.apply(start("s", "v2", 1), 0);
        table.apply(end("s", 1, status), 0);

        assertThat(table.judge(order(service, to), millis)).isEqualTo(expected);
    }

    /** Guards against an accepted order that is refused because the next rollout has started. */
    @Test
    void repeatedOrderIsAcceptedAfterTheNextRolloutStarted() {
        table.apply(start("s", "v2", 1), 0);
        table.apply(end("s", 1, Status.ROLLED_BACK), 0);
        table.apply(start("s", "v3", 2), 4_000);

        assertThat(table.judge(order("s", "v2"), 9_999)).isEqualTo(Verdict.ACCEPTED);
        assertThat(table.judge(order("s", "v2"), 10_000)).isEqualTo(Verdict.CONFLICT);
    }

    @Test
    void startCommandHasTheNextNumber() {
        LOG.forEach(c -> table.apply(c, 0));

        assertThat(table.startCommand(order("s", "v4"), 7).rollout().number()).isEqualTo(3);
        assertThat(table.startCommand(order("u", "v4"), 7).rollout().number()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"'', 1000", "v2, 0", "v2, -1", "v2, 9223372036854775807"})
    void invalidOrderIsRefused(String to, long durationMillis) {
        EndpointVersion version = new EndpointVersion(to);

        assertThrows(
                IllegalArgumentException.class,
                () -> new RolloutOrder(SERVICE, version, durationMillis));
    }

    private static List<RolloutRecord> after(List<RolloutCommand> commands) {
        RolloutTable table = new RolloutTable();
        commands.forEach(c -> table.apply(c, 0));
        return Collections.unmodifiableList(table.rollouts());
    }

    private static RolloutOrder order(String service, String to) {
        return new RolloutOrder(new ServiceName(service), new EndpointVersion(to), 12_000);
    }

    private static RolloutCommand start(String service, String to, long number) {
        return new RolloutCommand.Start(
                new RolloutRecord(order(service, to), number, 0, Status.RUNNING));
    }

    private static RolloutCommand end(String service, long number, Status status) {
        return new RolloutCommand.End(new ServiceName(service), number, status);
    }
}
