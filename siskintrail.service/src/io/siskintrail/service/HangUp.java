package io.siskintrail.service;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Takes SIGHUP, which would end the process otherwise, and keeps it until somebody asks. Installed
 * before a program reads its settings, since the signal can come while it starts. Thread-safe.
 */
final class HangUp {
    private static final String NAME = "HUP";

    private final Semaphore signalled = new Semaphore(0);

    private HangUp() {}

    /** Begins to take the signal. */
    static HangUp install() {
        HangUp hangUp = new HangUp();
        Signal.handle(new Signal(NAME), s -> hangUp.signalled.release());
        return hangUp;
    }

    /** Waits for a signal since the last call; returns whether one came within {@code millis}. */
    boolean await(long millis) throws InterruptedException {
        boolean came = signalled.tryAcquire(millis, TimeUnit.MILLISECONDS);
        signalled.drainPermits();
        return came;
    }
}
