package io.siskintrail.internal.consensus;

import net.jqwik.api.Example;

/**
 * Runs the fuzzing of {@link ConsensusFuzzTest} from other seeds, for as long as asked:
 *
 * <pre>mvn -o -pl siskintrail,siskintrail.test -am package -Dtest=ConsensusLongFuzzTest \
 *     -Dfuzz.seed=7 -Dfuzz.steps=2000000</pre>
 *
 * A failure names the seed of its run; {@code -Dfuzz.steps=400} with that seed repeats it alone.
 */
class ConsensusLongFuzzTest {
    private static final int ACTIONS = 400;
    private static final int DEFAULT_ACTIONS = 8_000;

    @Example
    void randomFaultsKeepTheLog() {
        long seed = Long.getLong("fuzz.seed", 1);
        long actions = Long.getLong("fuzz.steps", DEFAULT_ACTIONS);
        long steps = 0;
        for (long done = 0; done < actions; done += ACTIONS) {
            int voters = seed % 2 == 0 ? 3 : 5;
            try {
                steps += FuzzRun.run(voters, ACTIONS, seed, SafetyRules::new);
                FuzzRun.figureEight(seed, SafetyRules::new);
                FuzzRun.hideLeader(seed, false, SafetyRules::new);
                FuzzRun.hideLeader(seed, true, SafetyRules::new);
                FuzzRun.removeMajority(seed, SafetyRules::new);
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("fuzz.seed=" + seed, e);
            }
            seed++;
        }
        System.out.printf("consensus_long_fuzz actions=%d steps=%d%n", actions, steps);
    }
}
