package io.siskintrail.service;

import java.util.concurrent.CountDownLatch;

/** Stops a service when the process is asked to end. */
public final class ShutdownSignal {

    private ShutdownSignal() {}

    /** Blocks until the process is asked to end and {@code service} has stopped. */
    public static void await(Service service) {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook =
                new Thread(
                        () -> {
                            service.stop();
                            LogSetup.end();
                            stopped.countDown();
                        },
                        "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
