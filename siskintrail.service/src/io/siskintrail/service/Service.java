package io.siskintrail.service;

/**
 * Something that runs between {@link #start()} and {@link #stop()}. Both are called once, in that
 * order, by the owner.
 */
public interface Service extends AutoCloseable {

    /** Starts the service; returns when it is ready for work. */
    void start();

    /** Stops the service; returns when work in flight is finished or handed over. */
    void stop();

    @Override
    default void close() {
        stop();
    }
}
