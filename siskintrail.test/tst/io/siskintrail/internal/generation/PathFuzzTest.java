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
 * Fuzzes the request path with several routers, engines and callers. Messages are lost, delayed,
 * repeated and reordered; processes are paused and killed at any step.
 *
 * <p>Command for a longer run: {@code mvn -o -pl siskintrail,siskintrail.test test
 * -Dtest=PathFuzzTest -Dfuzz.seed=7 -Dfuzz.steps=10000000}.
 */
class PathFuzzTest {
    private static final long DEFAULT_STEPS = 1_000_000;
    private static final int MAX_ACTIONS = 60;
    private static final int SEQUENTIAL_FAULT_RUNS = 60;

    @Property(seed = "20260301", tries = 60, shrinking = ShrinkingMode.BOUNDED)
    void callersGetCompleteAnswersOrCorrectErrors(
            @ForAll("actions") List<PathAction> actions,
            @ForAll long seed,
            @ForAll boolean saltTokens) {
        run(new PathSimulation(seed, saltTokens, new SafetyChecks()), actions);
    }

    @Test
    void longRunDeliversNoIncorrectAnswer() {
        long seed = Long.getLong("fuzz.seed", 11);
        long minSteps = Long.getLong("fuzz.steps", DEFAULT_STEPS);
        SplittableRandom seeds = new SplittableRandom(seed);
        long steps = 0;
        long completeAnswers = 0;
        long outcomes = 0;
        while (steps < minSteps) {
            PathSimulation simulation =
                    randomRun(seeds.nextLong(), new SafetyChecks(), PathAction.values());
            steps += simulation.steps;
            completeAnswers += simulation.outcomes.getOrDefault(ResultCode.OK, 0);
            outcomes += simulation.outcomes.values().stream().mapToInt(n -> n).sum();
        }
        System.out.printf(
                "fuzz=path seed=%d steps=%d ends=%d whole=%d%n",
                seed, steps, outcomes, completeAnswers);
        assertThat(steps).isAtLeast(minSteps);
        assertThat(completeAnswers).isAtLeast(outcomes / 2);
    }

    @Test
    void noAnswerIsLostWhenRoutersDieOneAtATime() {
        assertThat(countAnswersLostToKills(new SafetyChecks())).isEqualTo(0);
    }

    @Test
    void noAnswerIsLostWhenRoutersPauseOneAtATime() {
        assertThat(countAnswersLostToPauses(new SafetyChecks())).isEqualTo(0);
    }

    static Stream<SafetyChecks> incompleteChecks() {
        return Stream.of(new NoOffsetCheck(), new NoAttemptCheck());
    }

    @ParameterizedTest
    @MethodSource("incompleteChecks")
    void oracleDetectsMissingCheck(SafetyChecks incomplete) {
        assertThrows(
                CallerOracle.Violation.class,
                () -> {
                    SplittableRandom seeds = new SplittableRandom(3);
                    for (int i = 0; i < 400; i++) {
                        randomRun(seeds.nextLong(), incomplete, PathAction.values());
                    }
                });
    }

    @Test
    void answersAreLostWhenDeliveredBeforeBuddyAck() {
        assertThat(countAnswersLostToKills(new NoAcknowledgementCheck())).isAtLeast(1);
    }

    @Test
    void answersAreLostWithoutFencing() {
        assertThat(countAnswersLostToPauses(new NoFencingCheck())).isAtLeast(1);
    }

    @Provide
    Arbitrary<List<PathAction>> actions() {
        return Arbitraries.of(PathAction.values()).list().ofMinSize(10).ofMaxSize(MAX_ACTIONS);
    }

    private static PathSimulation randomRun(
            long seed, SafetyChecks checks, PathAction[] possibleActions) {
        SplittableRandom random = new SplittableRandom(seed);
        List<PathAction> actions =
                random.ints(MAX_ACTIONS, 0, possibleActions.length)
                        .mapToObj(i -> possibleActions[i])
                        .toList();
        PathSimulation simulation = new PathSimulation(seed, true, checks);
        try {
            run(simulation, actions);
        } catch (CallerOracle.Violation e) {
            throw new CallerOracle.Violation(
                    "seed " + seed + ", " + actions + ": " + e.getMessage());
        }
        return simulation;
    }

    private static void run(PathSimulation simulation, List<PathAction> actions) {
        for (PathAction action : actions) {
            action.apply(simulation);
            simulation.advance(simulation.random().nextInt(120));
        }
        simulation.settle();
    }

    /**
     * Kills one router after another on a network that loses 20 percent of the messages; returns
     * the number of callers whose answer was lost.
     */
    private static long countAnswersLostToKills(SafetyChecks checks) {
        return countLostAnswers(checks, 20, PathSimulation.Router::kill);
    }

    /**
     * Pauses one router after another while its callers reconnect to a random router; returns the
     * number of callers whose answer was lost.
     */
    private static long countAnswersLostToPauses(SafetyChecks checks) {
        return countLostAnswers(
                checks,
                0,
                faultyRouter -> {
                    faultyRouter.paused = true;
                    faultyRouter.reconnectCallers();
                });
    }

    private static long countLostAnswers(
            SafetyChecks checks, int lossPercent, Consumer<PathSimulation.Router> fault) {
        SplittableRandom seeds = new SplittableRandom(5);
        long lost = 0;
        for (int i = 0; i < SEQUENTIAL_FAULT_RUNS; i++) {
            PathSimulation simulation = new PathSimulation(seeds.nextLong(), true, checks);
            simulation.lossPercent = lossPercent;
            for (int callerIndex = 0; callerIndex < 12; callerIndex++) {
                PathAction.NEW_CALLER.apply(simulation);
                simulation.advance(simulation.random().nextInt(300));
                if (callerIndex % 4 == 3) {
                    injectFault(simulation, fault);
                }
            }
            simulation.settle();
            lost += simulation.callers.stream().distinct().filter(PathCaller::lostAnswer).count();
        }
        return lost;
    }

    private static void injectFault(
            PathSimulation simulation, Consumer<PathSimulation.Router> fault) {
        PathSimulation.Router faultyRouter = simulation.randomAvailableRouter();
        fault.accept(faultyRouter);
        simulation.advance(1_000 + simulation.random().nextInt(500));
        faultyRouter.recover();
        simulation.advance(4_000);
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

    private static final class NoFencingCheck extends SafetyChecks {
        @Override
        boolean isFenced(OwnerEpoch known, OwnerEpoch incoming) {
            return false;
        }
    }

    private static final class NoAcknowledgementCheck extends SafetyChecks {
        @Override
        int deliverableTokens(int acknowledged, int journalLength) {
            return journalLength;
        }
    }
}
