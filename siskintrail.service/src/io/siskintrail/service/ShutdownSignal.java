package io.siskintrail.service;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Stops a service when the process is asked to end, also when that comes while the service starts.
 * Thread-safe.
 */
public final class ShutdownSignal {
    /** Longest wait for a start that is under way; one that hangs is given up. */
    private static final long START_SECONDS = 5;

    private final Service service;
    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile boolean started;

    /** Prepares to stop {@code service}. */
    ShutdownSignal(Service service) {
        this.service = service;
    }

    /**
     * Runs {@code start}, and blocks until the process is asked to end and {@code service} has
     * stopped. A start that fails is not stopped.
     */
    public static void run(Service service, Runnable start) {
        ShutdownSignal signal = new ShutdownSignal(service);
        Runtime.getRuntime().addShutdownHook(new Thread(signal::stop, "shutdown"));
        signal.start(start);
        signal.await();
    }

    /** Runs {@code task}, which starts the service. */
    void start(Runnable task) {
        try {
            task.run();
            started = true;
        } finally {
            begun.countDown();
        }
    }

    /** Stops the service once its start has ended. */
    void stop() {
        try {
            if (begun.await(START_SECONDS, TimeUnit.SECONDS) && started) {
                service.stop();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            LogSetup.end();
            stopped.countDown();
        }
    }

    private void await() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
