package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs faults of fixed seeds against the real programs as separate processes. {@code tools/soak
 * FIRST LAST} runs other seeds by hand. Each seed that has ever failed stays here with its cause.
 */
class SoakTest {
    private static final int FAULT_COUNT = 8;
    private static final int SERIES_COUNT = 2;

    @TempDir Path folder;

    /**
     * Seed 1: an edge was terminated by a SIGHUP that arrived before the program had installed its
     * handler. Seed 18: an edge was terminated by a SIGTERM that arrived before the program could
     * stop gracefully. Seeds 12 and 25: a registry was terminated by a SIGHUP that arrived before
     * the runtime had started the program; the platform restarts such a process.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 12, 18, 25})
    void guaranteesHold(long seed) throws Exception {
        SoakRun run = new SoakRun(seed, SoakRun.Profile.SINGLE_FAULTS);

        List<String> violations = run.run(folder, FAULT_COUNT);

        assertWithMessage(run.summary()).that(violations).isEmpty();
    }

    /** Requests on kept connections are answered or refused around planned work. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void requestIsNotLostAroundPlannedWork(long seed) throws Exception {
        SoakRun run = new SoakRun(seed, SoakRun.Profile.PLANNED_SERIES);

        List<String> violations = run.run(folder, SERIES_COUNT);

        assertWithMessage(run.summary()).that(violations).isEmpty();
    }

    /** A client gets what the endpoint answered first, whatever an endpoint writes behind it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void secondAnswerReachesNoClient(long seed) throws Exception {
        SoakRun run = new SoakRun(seed, SoakRun.Profile.SECOND_ANSWERS);

        List<String> violations = run.run(folder, SERIES_COUNT);

        assertWithMessage(run.summary()).that(violations).isEmpty();
    }

    /**
     * Runs the seeds {@code args[0]} to {@code args[1]} with logs in folder {@code args[2]} and the
     * profile {@code args[3]}.
     */
    public static void main(String[] args) throws Exception {
        SoakRun.Profile profile = SoakRun.Profile.valueOf(args[3]);
        int count = profile == SoakRun.Profile.SINGLE_FAULTS ? 2 * FAULT_COUNT : 2 * SERIES_COUNT;
        int passed = 0;
        int failed = 0;
        long lastSeed = Long.parseLong(args[1]);
        for (long seed = Long.parseLong(args[0]); seed <= lastSeed; seed++) {
            Path folder = Path.of(args[2], "seed-" + seed);
            if (Files.exists(folder)) {
                System.err.println(folder + " contains the logs of an earlier run");
                System.exit(2);
            }
            Files.createDirectories(folder);
            SoakRun run = new SoakRun(seed, profile);
            List<String> violations = run.run(folder, count);
            System.out.printf("%s broken=%s%n", run.summary(), violations);
            passed += violations.isEmpty() ? 1 : 0;
            failed += violations.isEmpty() ? 0 : 1;
        }
        System.out.printf("%d passed, %d failed%n", passed, failed);
        System.exit(failed == 0 ? 0 : 1);
    }
}
