package io.siskintrail.service;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers of the process until its service has stopped. The manager of the JDK
 * removes them as soon as the process is asked to end, beside the work that the service still does.
 * Made by the JDK through the property {@code java.util.logging.manager}. Thread-safe.
 */
public final class ServiceLogManager extends LogManager {
    private volatile boolean ended;

    /** Makes the manager without handlers. */
    public ServiceLogManager() {}

    @Override
    public void reset() {
        if (ended) {
            super.reset();
        }
    }

    /** Writes what is queued and closes the handlers; later lines are lost. */
    void end() {
        ended = true;
        reset();
    }
}
