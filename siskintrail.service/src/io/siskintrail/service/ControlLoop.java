package io.siskintrail.service;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Owns the one thread that all control state of a process lives on. State machines are touched by
 * tasks of this loop only; threads of traffic hand their inputs over with {@link #execute}.
 */
public final class ControlLoop implements Service {
    private static final long STOP_SECONDS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final System.Logger LOG = System.getLogger(ControlLoop.class.getName());

    private final ScheduledExecutorService executor;

    /** Names the thread {@code name}. */
    public ControlLoop(String name) {
        executor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread t = new Thread(task, name);
                            t.setDaemon(true);
                            return t;
                        });
    }

    /** Returns the monotonic time in milliseconds that the state machines are given. */
    public static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    @Override
    public void start() {}

    /** Runs {@code task} on the control thread; dropped after {@link #stop()}. */
    public void execute(Runnable task) {
        try {
            executor.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            LogEvent.debug(LOG, "control.task.dropped").write();
        }
    }

    /** Runs {@code task} on the control thread and completes the future with its value. */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /**
     * Runs {@code task} on the control thread whenever the monotonic clock passes a multiple of
     * {@code millis} milliseconds, so that tasks with related periods share their wake-ups. Runs
     * that a pause of the process has missed are left out.
     */
    public void every(long millis, Runnable task) {
        Runnable guarded = guarded(task);
        scheduleNext(millis * NANOS_PER_MILLI, guarded);
    }

    private void scheduleNext(long periodNanos, Runnable task) {
        long delay = periodNanos - Math.floorMod(System.nanoTime(), periodNanos);
        try {
            executor.schedule(
                    () -> {
                        task.run();
                        scheduleNext(periodNanos, task);
                    },
                    delay,
                    TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LogEvent.debug(LOG, "control.task.dropped").write();
        }
    }

    /** Runs {@code task} on the control thread once, after {@code millis} milliseconds. */
    public void after(long millis, Runnable task) {
        executor.schedule(guarded(task), millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        executor.shutdownNow();
        try {
            executor.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                LOG.log(System.Logger.Level.ERROR, "event=control.task.failed", e);
                ThreadFaults.caught(e);
            }
        };
    }
}
