package io.siskintrail.bench.policy;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that each scenario meets its targets with a fixed seed, in virtual time. */
class ScenarioTest {
    private static final long SEED = 1;

    @ParameterizedTest
    @EnumSource
    void meetsItsTargets(Scenario scenario) {
        assertThat(scenario.run(SEED).missed()).isEmpty();
    }

    @Test
    void sameSeedGivesSameFigures() {
        assertThat(Scenario.POISON.run(SEED).csv()).isEqualTo(Scenario.POISON.run(SEED).csv());
    }

    @Test
    void listsMissedTarget() {
        Table table = new Table("example");
        table.row(Strategy.OURS, "any").target("value <= 1", 2, false);
        assertThat(table.missed())
                .containsExactly("scenario=example variant=any target=\"value <= 1\" seen=2.0000");
    }
}
