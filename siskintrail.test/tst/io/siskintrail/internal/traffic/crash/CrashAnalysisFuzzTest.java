package io.siskintrail.internal.traffic.crash;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.internal.traffic.crash.CrashSimulation.Options;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fuzzes the analyses of several hosts under random traffic, some of which crashes endpoints.
 *
 * <p>Command for a longer run: {@code mvn -o -pl siskintrail,siskintrail.test test
 * -Dtest=CrashAnalysisFuzzTest -Dfuzz.seed=7 -Dfuzz.steps=1000}, the steps being the runs of each
 * share.
 */
class CrashAnalysisFuzzTest {
    private static final long RUN_MILLIS = 60_000;
    private static final int MAX_LATE_REQUESTS = 3;

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.02, 0.1, 0.15, 0.2, 0.3})
    void crashingPartsAreRefusedInTimeAndSoundRequestsAreNot(double share) {
        check(share, false);
    }

    /** A share apart, since KNOWN-RED.txt lists one of its seeds. */
    @Test
    void rareCrashingPartsAreRefusedInTimeAndSoundRequestsAreNot() {
        check(0.05, false);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.02, 0.05, 0.1})
    void partsThatBecomeCrashingAreRefusedInTimeAndSoundRequestsAreNot(double share) {
        check(share, true);
    }

    /** Shares apart, since KNOWN-RED.txt lists some of their seeds. */
    @ParameterizedTest
    @ValueSource(doubles = {0.15, 0.2, 0.3})
    void frequentPartsThatBecomeCrashingAreRefusedInTimeAndSoundRequestsAreNot(double share) {
        check(share, true);
    }

    private static void check(double share, boolean soundBefore) {
        SplittableRandom seeds = new SplittableRandom(Long.getLong("fuzz.seed", 20261205));
        long runs = Long.getLong("fuzz.steps", 32);
        List<String> violations = new ArrayList<>();
        int crashes = 0;
        int answered = 0;
        int refused = 0;
        for (int i = 0; i < runs; i++) {
            long seed = seeds.nextLong();
            Options options =
                    new Options(
                            share, 1 + i % 2, isSet(i, 1), soundBefore, isSet(i, 2), isSet(i, 3));
            CrashSimulation simulation = new CrashSimulation(seed, options);
            simulation.run(RUN_MILLIS);
            crashes += simulation.crashes;
            answered += simulation.soundAnswered;
            refused += simulation.soundRefused;
            collectViolations(simulation, "seed " + seed + " " + options, violations);
        }
        System.out.printf(
                "fuzz=crash share=%.2f sound_before=%b runs=%d crashes=%d answered=%d"
                        + " refused_sound=%d bad=%d%n",
                share, soundBefore, runs, crashes, answered, refused, violations.size());
        assertWithMessage(String.join("\n", violations)).that(violations).isEmpty();
    }

    private static boolean isSet(int number, int bit) {
        return (number >> bit & 1) == 1;
    }

    private static void collectViolations(
            CrashSimulation simulation, String run, List<String> violations) {
        simulation.lateRequests.forEach(
                (part, late) -> {
                    if (late > MAX_LATE_REQUESTS) {
                        violations.add(run + ": " + late + " late requests with " + part);
                    }
                });
        if (!simulation.wrongRefusals.isEmpty()) {
            violations.add(run + ": refused " + simulation.wrongRefusals);
        }
    }
}
