package io.siskintrail.internal.generation;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.lib.ResultCode;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Fuzzes the request path: several routers, engines and callers; messages are lost, late, repeated
 * and crossed, processes are paused and killed at any step.
 *
 * <p>A longer run: {@code mvn -o -pl siskintrail,siskintrail.test test -Dtest=PathFuzzTest
 * -Dfuzz.seed=7 -Dfuzz.steps=10000000}.
 */
class PathFuzzTest {
    private static final long DEFAULT_STEPS = 1_000_000;
    private static final int ACTIONS = 60;
    private static final int ONE_FAULT_RUNS = 60;

    @Property(seed = "20260301", tries = 60, shrinking = ShrinkingMode.BOUNDED)
    void callersGetWholeAnswersOrTrueErrors(
            @ForAll("actions") List<PathAction> actions,
            @ForAll long seed,
            @ForAll boolean salted) {
        run(new PathWorld(seed, salted, new SafetyChecks()), actions);
    }

    @Test
    void longRunKeepsThePromises() {
        long seed = Long.getLong("fuzz.seed", 11);
        long wanted = Long.getLong("fuzz.steps", DEFAULT_STEPS);
        SplittableRandom seeds = new SplittableRandom(seed);
        long steps = 0;
        long whole = 0;
        long ends = 0;
        while (steps < wanted) {
            PathWorld world = randomRun(seeds.nextLong(), new SafetyChecks(), PathAction.values());
            steps += world.steps;
            whole += world.outcomes.getOrDefault(ResultCode.OK, 0);
            ends += world.outcomes.values().stream().mapToInt(n -> n).sum();
        }
        System.out.printf(
                "fuzz=path seed=%d steps=%d ends=%d whole=%d%n", seed, steps, ends, whole);
        assertThat(steps).isAtLeast(wanted);
        assertThat(whole).isAtLeast(ends / 2);
    }

    @Test
    void noAnswerIsLostWhenRoutersDieOneAtATime() {
        assertThat(lostToKills(new SafetyChecks())).isEqualTo(0);
    }

    @Test
    void noAnswerIsLostWhenRoutersPauseOneAtATime() {
        assertThat(lostToPauses(new SafetyChecks())).isEqualTo(0);
    }

    static Stream<SafetyChecks> incompleteChecks() {
        return Stream.of(new NoOffsetCheck(), new NoAttemptCheck());
    }

    @ParameterizedTest
    @MethodSource("incompleteChecks")
    void oracleNoticesMissingCheck(SafetyChecks broken) {
        assertThrows(
                CallerOracle.Violation.class,
                () -> {
                    SplittableRandom seeds = new SplittableRandom(3);
                    for (int i = 0; i < 400; i++) {
                        randomRun(seeds.nextLong(), broken, PathAction.values());
                    }
                });
    }

    @Test
    void oracleNoticesDeliveryAheadOfTheBuddy() {
        assertThat(lostToKills(new NoBuddyAck())).isAtLeast(1);
    }

    @Test
    void oracleNoticesIgnoredFence() {
        assertThat(lostToPauses(new NoFence())).isAtLeast(1);
    }

    @Provide
    Arbitrary<List<PathAction>> actions() {
        return Arbitraries.of(PathAction.values()).list().ofMinSize(10).ofMaxSize(ACTIONS);
    }

    private static PathWorld randomRun(long seed, SafetyChecks checks, PathAction[] choice) {
        SplittableRandom random = new SplittableRandom(seed);
        List<PathAction> actions =
                random.ints(ACTIONS, 0, choice.length).mapToObj(i -> choice[i]).toList();
        PathWorld world = new PathWorld(seed, true, checks);
        try {
            run(world, actions);
        } catch (CallerOracle.Violation e) {
            throw new CallerOracle.Violation(
                    "seed " + seed + ", " + actions + ": " + e.getMessage());
        }
        return world;
    }

    private static void run(PathWorld world, List<PathAction> actions) {
        for (PathAction action : actions) {
            action.apply(world);
            world.advance(world.random().nextInt(120));
        }
        world.settle();
    }

    /** Kills one router after another on a lossy network; returns how many callers lost answers. */
    private static long lostToKills(SafetyChecks checks) {
        return lostAnswers(checks, 20, PathWorld.Router::kill);
    }

    /** Pauses one router after another while its callers reconnect elsewhere. */
    private static long lostToPauses(SafetyChecks checks) {
        return lostAnswers(
                checks,
                0,
                victim -> {
                    victim.paused = true;
                    victim.reconnectCallers();
                });
    }

    private static long lostAnswers(
            SafetyChecks checks, int lossPercent, Consumer<PathWorld.Router> fault) {
        SplittableRandom seeds = new SplittableRandom(5);
        long lost = 0;
        for (int i = 0; i < ONE_FAULT_RUNS; i++) {
            PathWorld world = new PathWorld(seeds.nextLong(), true, checks);
            world.lossPercent = lossPercent;
            for (int k = 0; k < 12; k++) {
                PathAction.NEW_CALLER.apply(world);
                world.advance(world.random().nextInt(300));
                if (k % 4 == 3) {
                    oneFault(world, fault);
                }
            }
            world.settle();
            lost += world.callers.stream().distinct().filter(PathCaller::lostItsAnswer).count();
        }
        return lost;
    }

    private static void oneFault(PathWorld world, Consumer<PathWorld.Router> fault) {
        PathWorld.Router victim = world.anyRouter();
        fault.accept(victim);
        world.advance(1_000 + world.random().nextInt(500));
        victim.heal();
        world.advance(4_000);
    }

    private static final class NoOffsetCheck extends SafetyChecks {
        @Override
        ChunkFit classifyChunk(Journal journal, int offset, TokenRun run) {
            return ChunkFit.ACCEPT;
        }

        @Override
        TokenRun newTokens(Journal journal, int offset, TokenRun run) {
            return run;
        }
    }

    private static final class NoAttemptCheck extends SafetyChecks {
        @Override
        boolean isCurrentAttempt(int attempt, int current) {
            return true;
        }
    }

    private static final class NoFence extends SafetyChecks {
        @Override
        boolean isFenced(OwnerEpoch known, OwnerEpoch incoming) {
            return false;
        }
    }

    private static final class NoBuddyAck extends SafetyChecks {
        @Override
        int deliverableTokens(int acknowledged, int journalLength) {
            return journalLength;
        }
    }
}
