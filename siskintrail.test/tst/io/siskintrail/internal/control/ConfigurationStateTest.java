package io.siskintrail.internal.control;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConfigurationStateTest {
    private final ConfigurationState state = new ConfigurationState();
    private long index;

    private ConfigurationAnswer apply(ConfigurationCommand command) {
        index++;
        return state.apply(new LogPosition(1, index), 1_000 + index, command);
    }

    private ConfigurationAnswer edit(long base, String text, String operator) {
        return apply(new ConfigurationCommand.ApplyRules(base, text, operator));
    }

    private static HostInfo host(int n) {
        return new HostInfo(new HostId("h" + n), new FailureDomain("d" + n % 3), "127.0.0.1:" + n);
    }

    @Test
    void answersARepeatedEditAsBefore() {
        ConfigurationAnswer first = edit(0, "a", "huda");
        edit(1, "b", "omar");
        assertThat(edit(0, "a", "huda")).isEqualTo(first);
        assertThat(state.current().rulesNumber()).isEqualTo(2);
    }

    @Test
    void refusesOtherContentFromTheSameNumberAndShowsTheWinner() {
        edit(0, "a\nb", "huda");
        edit(1, "b\nc", "omar");
        var taken = (ConfigurationAnswer.NumberTaken) edit(1, "b\nd", "huda");
        assertThat(taken.winner().operator()).isEqualTo("omar");
        assertThat(taken.winner().added()).containsExactly("c");
        assertThat(taken.winner().removed()).containsExactly("a");
        assertThat(taken.currentNumber()).isEqualTo(2);
        assertThat(state.current().rulesText()).isEqualTo("b\nc");
    }

    @Test
    void refusesANumberThatDoesNotExist() {
        assertThat(edit(1, "a", "huda")).isEqualTo(new ConfigurationAnswer.NumberUnknown(0));
    }

    @Test
    void changesHostsOneAtATime() {
        apply(new ConfigurationCommand.SeedHosts(List.of(host(1), host(2))));
        assertThat(apply(new ConfigurationCommand.PutHost(host(3))))
                .isEqualTo(new ConfigurationAnswer.HostsPending(1));
        apply(new ConfigurationCommand.MarkInForce(1));
        assertThat(apply(new ConfigurationCommand.PutHost(host(3))))
                .isEqualTo(new ConfigurationAnswer.HostsChanged(2));
        assertThat(apply(new ConfigurationCommand.SeedHosts(List.of(host(9)))))
                .isEqualTo(new ConfigurationAnswer.HostsRefused());
        assertThat(state.image().previousHosts()).containsExactly(host(1), host(2));
    }

    @Test
    void drainsKnownHostsUntilTheyAreRemoved() {
        apply(new ConfigurationCommand.SeedHosts(List.of(host(1), host(2))));
        apply(new ConfigurationCommand.MarkInForce(1));
        assertThat(apply(new ConfigurationCommand.SetDraining(host(2).id(), true)))
                .isEqualTo(new ConfigurationAnswer.HostsChanged(2));
        assertThat(apply(new ConfigurationCommand.SetDraining(host(2).id(), true)))
                .isEqualTo(new ConfigurationAnswer.HostsChanged(2));
        assertThat(state.current().admits(host(2).id())).isFalse();
        assertThat(apply(new ConfigurationCommand.SetDraining(host(3).id(), true)))
                .isEqualTo(new ConfigurationAnswer.HostsRefused());
        apply(new ConfigurationCommand.RemoveHost(host(2).id()));
        assertThat(state.current().draining()).isEmpty();
    }

    @Test
    void marksOnlyWhatExistsAndNeverGoesBack() {
        edit(0, "a", "huda");
        apply(new ConfigurationCommand.MarkInForce(7));
        assertThat(state.inForceVersion()).isEqualTo(1);
        apply(new ConfigurationCommand.MarkInForce(0));
        assertThat(state.inForceVersion()).isEqualTo(1);
    }

    @Test
    void keepsABoundedHistoryAndReachesTheSameStateAfterARestart() {
        SplittableRandom random = new SplittableRandom(7);
        ConfigurationState restarted = new ConfigurationState();
        for (int i = 0; i < 3 * ConfigurationState.HISTORY_LENGTH; i++) {
            var command =
                    new ConfigurationCommand.ApplyRules(
                            Math.max(0, state.current().rulesNumber() - random.nextInt(2)),
                            "line " + random.nextInt(3),
                            "op" + random.nextInt(2));
            restarted.apply(new LogPosition(1, index + 1), 1_001 + index, command);
            apply(command);
            if (random.nextInt(50) == 0) {
                ConfigurationImage image = restarted.image();
                restarted = new ConfigurationState();
                restarted.restore(image);
            }
        }
        assertThat(restarted.image()).isEqualTo(state.image());
        assertThat(state.history().size()).isEqualTo(ConfigurationState.HISTORY_LENGTH);
    }
}
