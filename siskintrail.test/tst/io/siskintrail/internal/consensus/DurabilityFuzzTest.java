package io.siskintrail.internal.consensus;

import net.jqwik.api.Example;

/**
 * Kills processes, takes power away and lets disks refuse changes under five replicas and a spare
 * on the stores of production; {@link Oracle} judges. Guards against a store that takes for durable
 * what a killed process wrote and did not sync, or takes an unsynced tail for damage.
 *
 * <p>A longer run takes other seeds and more actions:
 *
 * <pre>mvn -o -pl siskintrail,siskintrail.wire,siskintrail.storage,siskintrail.test -am package \
 *     -Dtest=DurabilityFuzzTest -Dfuzz.seed=7 -Dfuzz.steps=2000000</pre>
 *
 * A failure names the seed of its run; {@code -Dfuzz.steps=400} with that seed repeats it alone.
 */
class DurabilityFuzzTest {
    private static final int ACTIONS = 400;
    private static final int DEFAULT_ACTIONS = 60_000;
    private static final int VOTERS = 5;

    @Example
    void lossesOfPowerAfterKillsKeepTheLog() {
        long seed = Long.getLong("fuzz.seed", 3401);
        long actions = Long.getLong("fuzz.steps", DEFAULT_ACTIONS);
        long steps = 0;
        for (long done = 0; done < actions; done += ACTIONS) {
            try {
                steps += FuzzRun.runOnStores(VOTERS, ACTIONS, seed);
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("fuzz.seed=" + seed, e);
            }
            seed++;
        }
        System.out.printf("durability_fuzz actions=%d steps=%d%n", actions, steps);
    }
}
