package io.siskintrail.bench.path;

import io.siskintrail.fake.FakeEngine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;

/** Loses half of the engines under many streams and measures how the streams go on. */
public final class ResumeMeasure {
    private static final int ROUTERS = 3;
    private static final int ENGINES = 10;
    private static final int SLOTS = 60;
    private static final int TOKEN_MILLIS = 30;
    private static final int FIRST_TOKEN_MILLIS = 100;
    private static final int STREAMS = 200;
    private static final int TOKENS = 200;
    private static final int LOSE_AT = TOKENS / 3;
    private static final int PROMPT_WORDS = 100;
    private static final int CALLER_SILENCE_MILLIS = 5_000;
    private static final long RUN_MILLIS = 60_000;
    private static final long SEED = 11;
    private static final int MAX_MILLIS = 60_000;
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long IDLE_MILLIS = 4_000;

    private ResumeMeasure() {}

    /** How the engines are lost. */
    enum Loss {
        KILLED,
        SILENT,
        NONE
    }

    /** Runs the experiment and prints its figures. */
    public static int run(String[] args) throws Exception {
        Result kill = lose(Loss.KILLED, true);
        Result silent = lose(Loss.SILENT, true);
        Result copied = lose(Loss.NONE, true);
        Result alone = lose(Loss.NONE, false);
        double copyMicros = copied.cpuMicrosPerToken - alone.cpuMicrosPerToken;
        System.out.printf(
                "streams=%d engines_lost=%d affected_kill=%d affected_silent=%d"
                        + " wrong_answers=%d%n",
                STREAMS,
                ENGINES / 2,
                kill.affected,
                silent.affected,
                kill.wrong + silent.wrong + copied.wrong + alone.wrong);
        System.out.printf(
                "slot_time_extra_ratio=%.4f baseline_restart_slot_time_extra_ratio=%.4f%n",
                kill.slotExtra, kill.restartSlotExtra);
        System.out.printf(
                "kill_p50_ms=%d kill_p99_ms=%d silent_p50_ms=%d silent_p99_ms=%d"
                        + " extra_ratio=%.4f baseline_restart_extra_ratio=%.4f"
                        + " per_token_copy_us=%.1f%n",
                kill.gaps.getValueAtPercentile(50),
                kill.gaps.getValueAtPercentile(99),
                silent.gaps.getValueAtPercentile(50),
                silent.gaps.getValueAtPercentile(99),
                kill.extra,
                kill.restartExtra,
                copyMicros);
        return kill.wrong + silent.wrong + copied.wrong + alone.wrong == 0 ? 0 : 1;
    }

    private static Result lose(Loss loss, boolean joined) throws Exception {
        int routers = joined ? ROUTERS : 1;
        try (PathDeployment d =
                new PathDeployment(
                        routers, joined, ENGINES, SLOTS, TOKEN_MILLIS, FIRST_TOKEN_MILLIS)) {
            double idleMicros = 0;
            if (loss == Loss.NONE) {
                runAll(callers(d));
                runAll(callers(d));
                idleMicros = idleMicrosPerSecond(d);
            }
            List<ReconnectingCaller> callers = callers(d);
            long begin = System.nanoTime();
            Duration before = cpu(d);
            List<Thread> threads = new ArrayList<>();
            for (ReconnectingCaller caller : callers) {
                Thread thread = new Thread(null, caller, "caller", 1 << 18);
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
            Result result = new Result();
            if (loss != Loss.NONE) {
                awaitAll(callers, LOSE_AT);
                result.lostAt = System.nanoTime();
                strike(d, loss);
            }
            long deadline = System.nanoTime() + RUN_MILLIS * NANOS_PER_MILLI;
            for (Thread thread : threads) {
                long left = (deadline - System.nanoTime()) / NANOS_PER_MILLI;
                thread.join(Math.max(1, left));
            }
            double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
            double micros = cpu(d).minus(before).toNanos() / NANOS_PER_MICRO;
            result.cpuMicrosPerToken = (micros - idleMicros * seconds) / (STREAMS * TOKENS);
            result.measure(d, callers);
            return result;
        }
    }

    private static void runAll(List<ReconnectingCaller> callers) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (ReconnectingCaller caller : callers) {
            Thread thread = new Thread(null, caller, "caller", 1 << 18);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join(RUN_MILLIS);
        }
    }

    private static double idleMicrosPerSecond(PathDeployment d) throws InterruptedException {
        Duration before = cpu(d);
        Thread.sleep(IDLE_MILLIS);
        double seconds = IDLE_MILLIS * NANOS_PER_MILLI / NANOS_PER_SECOND;
        return cpu(d).minus(before).toNanos() / NANOS_PER_MICRO / seconds;
    }

    private static void strike(PathDeployment d, Loss loss) throws InterruptedException {
        List<Thread> strikes = new ArrayList<>();
        for (FakeEngine engine : d.engines().subList(0, ENGINES / 2)) {
            Thread thread = new Thread(loss == Loss.KILLED ? engine::kill : engine::pause);
            thread.start();
            strikes.add(thread);
        }
        for (Thread thread : strikes) {
            thread.join();
        }
    }

    private static List<ReconnectingCaller> callers(PathDeployment d) {
        List<ReconnectingCaller> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            AtomicInteger turn = new AtomicInteger(i);
            callers.add(
                    new ReconnectingCaller(
                            () -> {
                                int at = Math.floorMod(turn.getAndIncrement(), d.routers().size());
                                return d.routers().get(at).address();
                            },
                            "stream-" + i + "-" + System.nanoTime(),
                            prompt(i),
                            SEED,
                            TOKENS,
                            CALLER_SILENCE_MILLIS));
        }
        return callers;
    }

    private static String prompt(int stream) {
        return "stream " + stream + " word".repeat(PROMPT_WORDS - 2);
    }

    private static void awaitAll(List<ReconnectingCaller> callers, int tokens)
            throws InterruptedException {
        long deadline = System.nanoTime() + RUN_MILLIS * NANOS_PER_MILLI;
        while (System.nanoTime() < deadline
                && callers.stream().anyMatch(c -> c.received() < tokens)) {
            Thread.sleep(TOKEN_MILLIS);
        }
    }

    private static Duration cpu(PathDeployment d) {
        return d.routers().stream()
                .map(RouterProcess::cpuTime)
                .reduce(Duration.ZERO, Duration::plus);
    }

    /** Figures of one loss. */
    private static final class Result {
        private final Histogram gaps = new Histogram(MAX_MILLIS, 3);
        private long lostAt;
        private int affected;
        private int wrong;
        private double extra;
        private double restartExtra;
        private double slotExtra;
        private double restartSlotExtra;
        private double cpuMicrosPerToken;

        private void measure(PathDeployment d, List<ReconnectingCaller> callers) {
            long delivered = 0;
            long restartTokens = 0;
            long restartMillis = 0;
            for (int i = 0; i < callers.size(); i++) {
                ReconnectingCaller c = callers.get(i);
                delivered += c.tokens().size();
                List<Integer> right = PathDeployment.expected(prompt(i), SEED, TOKENS);
                if (!c.isDone() || !c.tokens().equals(right)) {
                    wrong++;
                    boolean prefix =
                            c.tokens().size() <= TOKENS
                                    && right.subList(0, c.tokens().size()).equals(c.tokens());
                    System.out.printf(
                            "wrong stream=%d tokens=%d right_prefix=%b done=%b error=%s"
                                    + " connections=%d first_difference=%d first_offsets=%s%n",
                            i,
                            c.tokens().size(),
                            prefix,
                            c.isDone(),
                            c.error(),
                            c.connections(),
                            firstDifference(right, c.tokens()),
                            c.offsets().subList(0, Math.min(20, c.offsets().size())));
                }
                int had = lostAt == 0 ? 0 : gapAround(c);
                if (had > 0) {
                    affected++;
                    restartTokens += PROMPT_WORDS + had;
                    restartMillis += FIRST_TOKEN_MILLIS + (long) had * TOKEN_MILLIS;
                }
            }
            long initial = (long) STREAMS * PROMPT_WORDS;
            long again = d.computedPromptTokens() - initial;
            long twice = d.decodedTokens() - delivered;
            long serviceMillis = STREAMS * (FIRST_TOKEN_MILLIS + (long) TOKENS * TOKEN_MILLIS);
            extra = (again + twice) / (double) delivered;
            restartExtra = restartTokens / (double) delivered;
            long slotMillis = (long) affected * FIRST_TOKEN_MILLIS + twice * TOKEN_MILLIS;
            slotExtra = slotMillis / (double) serviceMillis;
            restartSlotExtra = restartMillis / (double) serviceMillis;
        }

        private static int firstDifference(List<Integer> right, List<Integer> had) {
            int at = 0;
            while (at < had.size() && at < right.size() && right.get(at).equals(had.get(at))) {
                at++;
            }
            return at;
        }

        /**
         * Records the gap that spans the loss when it is longer than an undisturbed one; returns
         * how many tokens the caller had, 0 when its stream was not affected.
         */
        private int gapAround(ReconnectingCaller c) {
            List<Long> times = c.times();
            for (int i = 1; i < times.size(); i++) {
                if (times.get(i) > lostAt) {
                    long gap = (times.get(i) - times.get(i - 1)) / NANOS_PER_MILLI;
                    long next =
                            i + 1 < times.size()
                                    ? (times.get(i + 1) - times.get(i)) / NANOS_PER_MILLI
                                    : 0;
                    long longest = Math.max(gap, next);
                    if (longest < FIRST_TOKEN_MILLIS) {
                        return 0;
                    }
                    gaps.recordValue(Math.min(longest, MAX_MILLIS));
                    return i;
                }
            }
            return 0;
        }
    }
}
