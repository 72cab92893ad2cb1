package io.siskintrail.internal.traffic.stream;

import io.siskintrail.internal.traffic.configuration.Route;

/**
 * Counts the attempts of one stream and decides whether another one may follow. Attempts that an
 * engine may have run are limited by the route. An attempt that an engine would still finish is not
 * given up when no other one may follow it, because that could only lose the answer. Not
 * thread-safe.
 */
public final class StreamAttempts {
    /** Attempts allowed beyond those of the route: ones that were rejected or not connected. */
    private static final int MAX_UNEXECUTED = 12;

    /**
     * Consecutive attempts without an event that are retried immediately, since a KV cache copy may
     * be missing.
     */
    private static final int IMMEDIATE_RETRIES = 2;

    /** Base delay after further attempts that failed without an event, doubled with each one. */
    private static final long EVENTLESS_BACKOFF_MILLIS = 25;

    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final int maxExecuted;
    private final boolean resumable;
    private int sent;
    private int executed;
    private int eventless;
    private boolean written;
    private boolean gaveUp;

    /** Starts counting for a stream of {@code route} that was not sent yet. */
    public StreamAttempts(Route route) {
        maxExecuted = route.maxAttempts();
        resumable = route.resumable();
    }

    /** Records that an attempt starts. */
    public void recordSent() {
        sent++;
    }

    /**
     * Records that an attempt ended without completing the stream.
     *
     * @param isWritten whether any byte of the request may have reached the engine
     * @param mayHaveExecuted whether the engine may have run the request
     * @param hasEvents whether the attempt brought an event
     */
    public void recordLost(boolean isWritten, boolean mayHaveExecuted, boolean hasEvents) {
        written |= isWritten;
        if (mayHaveExecuted) {
            executed++;
        }
        if (!hasEvents) {
            eventless++;
        }
    }

    /**
     * Records that the running attempt is given up although its engine may still finish it. The
     * stream then goes on to search for an engine as long as its deadline allows.
     */
    public void recordGivenUp() {
        gaveUp = true;
    }

    /** Records that the engine of the running attempt has begun to send events. */
    public void recordTakenOver() {
        gaveUp = false;
    }

    /** Returns the number of attempts that were started. */
    public int sent() {
        return sent;
    }

    /** Returns whether an engine may have run an attempt that ended. */
    public boolean mayHaveExecuted() {
        return executed > 0;
    }

    /** Returns whether a byte of an attempt that ended may have reached an engine. */
    public boolean isWritten() {
        return written;
    }

    /**
     * Returns whether an attempt was given up that its engine may have finished, and no other
     * engine has taken over since.
     */
    public boolean hasGivenUp() {
        return gaveUp;
    }

    /** Returns whether the route allows the stream to go on after what may have run. */
    public boolean mayResume() {
        return executed == 0 || resumable;
    }

    /** Returns whether another attempt is left. */
    public boolean hasLeft() {
        return executed < maxExecuted && (gaveUp || sent < maxExecuted + MAX_UNEXECUTED);
    }

    /**
     * Returns whether another attempt would be left if the running one were given up.
     *
     * @param mayHaveExecuted whether the engine of the running attempt may have run the request
     */
    public boolean hasLeftAfterGivingUp(boolean mayHaveExecuted) {
        if (!mayHaveExecuted) {
            return hasLeft();
        }
        return resumable && executed + 1 < maxExecuted;
    }

    /** Returns how long to wait before the next attempt, in milliseconds. */
    public long backoffMillis() {
        if (eventless <= IMMEDIATE_RETRIES) {
            return 0;
        }
        int doublings = Math.min(eventless - IMMEDIATE_RETRIES, MAX_BACKOFF_DOUBLINGS);
        return EVENTLESS_BACKOFF_MILLIS << doublings;
    }
}
