package io.siskintrail.internal.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;

/**
 * Fuzzes followers, publisher and state together in virtual time.
 *
 * <p>A longer run by command and seed: {@code mvn -o -pl siskintrail,siskintrail.test -am package
 * -Dtest=CurrencyFuzzTest -Dfuzz.seed=42 -Dfuzz.steps=5000000}.
 */
class CurrencyFuzzTest {
    private static final int ACTIONS = 100;

    @Provide
    Arbitrary<List<CurrencyAction>> actions() {
        Arbitrary<Integer> host = Arbitraries.integers().between(0, CurrencyFuzz.HOSTS - 1);
        Arbitrary<Integer> amount =
                Arbitraries.integers()
                        .between(0, CurrencyAction.MAX_AMOUNT)
                        .withDistribution(RandomDistribution.uniform());
        return Combinators.combine(Arbitraries.of(CurrencyAction.WEIGHTED), host, host, amount)
                .as(CurrencyAction::new)
                .list()
                .ofSize(ACTIONS);
    }

    @Property(tries = 1_000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void acceptedRulesAreInForceAndNeverRevert(
            @ForAll("actions") List<CurrencyAction> actions, @ForAll long seed) {
        CurrencyFuzz fuzz = new CurrencyFuzz(CurrencyFuzz.Parts.SOUND, seed);
        actions.forEach(fuzz::take);
        fuzz.settle();
    }

    @Example
    void holdsForAsManyStepsAsAsked() {
        long seed = Long.getLong("fuzz.seed", 1);
        long wanted = Long.getLong("fuzz.steps", 400_000);
        long steps = 0;
        long edits = 0;
        long serving = 0;
        while (steps < wanted) {
            CurrencyFuzz fuzz = RandomRun.of(CurrencyFuzz.Parts.SOUND, seed++, ACTIONS);
            steps += fuzz.steps();
            edits += fuzz.oracle().acceptedEdits();
            serving += fuzz.oracle().servingChecks();
        }
        System.out.printf("fuzz=currency steps=%d edits=%d serving=%d%n", steps, edits, serving);
        assertThat(edits).isGreaterThan(steps / 2_000);
        assertThat(serving).isGreaterThan(steps / 2);
    }

    @Example
    void hostsServeOnWithoutControlAndAnIsolatedOneStops() {
        CurrencyFuzz fuzz = new CurrencyFuzz(CurrencyFuzz.Parts.SOUND, 1);
        for (int i = 0; i < ControlModel.REPLICAS; i++) {
            fuzz.take(new CurrencyAction(CurrencyAction.Kind.STOP_CONTROL, i, 0, 0));
        }
        fuzz.run(60_000);
        assertThat(serving(fuzz)).isEqualTo("1111111");
        fuzz.take(new CurrencyAction(CurrencyAction.Kind.ISOLATE, 4, 0, 0));
        fuzz.take(new CurrencyAction(CurrencyAction.Kind.RESTART, 6, 0, 0));
        fuzz.run(CurrencyOracle.BOUND_MILLIS);
        assertThat(serving(fuzz)).isEqualTo("1111010");
        fuzz.settle();
        assertThat(serving(fuzz)).isEqualTo("1111111");
    }

    private static String serving(CurrencyFuzz fuzz) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < CurrencyFuzz.HOSTS; i++) {
            hosts.append(fuzz.takesWork(i) ? '1' : '0');
        }
        return hosts.toString();
    }

    /** Runs random actions by seed. */
    static final class RandomRun {
        private RandomRun() {}

        static CurrencyFuzz of(CurrencyFuzz.Parts parts, long seed, int actions) {
            CurrencyFuzz fuzz = new CurrencyFuzz(parts, seed);
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < actions; i++) {
                fuzz.take(CurrencyAction.random(random));
            }
            fuzz.settle();
            return fuzz;
        }
    }
}
