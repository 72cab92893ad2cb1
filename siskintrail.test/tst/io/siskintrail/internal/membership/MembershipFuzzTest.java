package io.siskintrail.internal.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;

/**
 * Drives the memberships of several routers through loss, delay, repetition, isolation, kills,
 * restarts and pauses.
 *
 * <p>A longer run: {@code mvn -o -pl siskintrail,siskintrail.test -am package
 * -Dtest=MembershipFuzzTest -Dfuzz.seed=7 -Dfuzz.steps=2000000}.
 */
class MembershipFuzzTest {
    private static final int STEPS = 500;
    private static final int LONG_RUN_STEPS = 20_000;
    private static final int VARIANT_STEPS = 100_000;

    @Property(
            tries = 100,
            seed = "43",
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void endpointThatLeavesGetsNoWorkAfterTheBound(
            @ForAll("actions") List<Integer> actions, @ForAll long seed) {
        MembershipWorld world = new MembershipWorld(Membership::new, seed);
        actions.forEach(world::act);
        world.settleDown();
    }

    @Provide
    Arbitrary<List<Integer>> actions() {
        return Arbitraries.integers()
                .between(0, Integer.MAX_VALUE)
                .withDistribution(RandomDistribution.uniform())
                .list()
                .ofSize(STEPS);
    }

    @Example
    void endpointsAreUsableThroughFaults() {
        int steps = Integer.getInteger("fuzz.steps", LONG_RUN_STEPS);
        int usable = run(Long.getLong("fuzz.seed", 5), steps, Membership::new);
        assertThat(usable).isGreaterThan(steps);
    }

    @Example
    void aliveEntryThatOverwritesLeavingIsCaught() {
        assertCaught(
                "after it left",
                (host, boot, seed) ->
                        new Membership(host, boot, seed) {
                            @Override
                            boolean supersedes(EndpointEntry next, EndpointEntry held) {
                                long nextInc = next.info().incarnation();
                                long heldInc = held.info().incarnation();
                                return nextInc > heldInc
                                        || (nextInc == heldInc && next.term() > held.term());
                            }
                        });
    }

    @Example
    void evidenceCountedFromTheArrivalOfALateAnswerIsCaught() {
        assertCaught(
                "millis since",
                (host, boot, seed) ->
                        new Membership(host, boot, seed) {
                            @Override
                            long evidenceTime(long pulledAt, long nowMillis, long ageMillis) {
                                return nowMillis - ageMillis;
                            }
                        });
    }

    @Example
    void renewalCountedFromItsArrivalIsCaught() {
        assertCaught(
                "millis since",
                (host, boot, seed) ->
                        new Membership(host, boot, seed) {
                            @Override
                            long renewalTime(long stampMillis, long nowMillis) {
                                return nowMillis;
                            }
                        });
    }

    @Example
    void evidenceThatIgnoresTheAgeOfTheRenewalIsCaught() {
        assertCaught(
                "millis since",
                (host, boot, seed) ->
                        new Membership(host, boot, seed) {
                            @Override
                            long evidenceTime(long pulledAt, long nowMillis, long ageMillis) {
                                return pulledAt;
                            }
                        });
    }

    private static void assertCaught(String message, MembershipWorld.Factory factory) {
        AssertionError e = assertThrows(AssertionError.class, () -> run(1, VARIANT_STEPS, factory));
        assertThat(e).hasMessageThat().contains(message);
    }

    private static int run(long seed, int steps, MembershipWorld.Factory factory) {
        SplittableRandom random = new SplittableRandom(seed);
        int usable = 0;
        for (int left = steps; left > 0; left -= STEPS) {
            MembershipWorld world = new MembershipWorld(factory, random.nextLong());
            for (int i = 0; i < STEPS; i++) {
                world.act(random.nextInt() & Integer.MAX_VALUE);
            }
            world.settleDown();
            usable += world.usableSeen();
        }
        return usable;
    }
}
