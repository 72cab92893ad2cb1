package io.siskintrail.internal.generation;

/** Says why an attempt of a generation is over. */
public enum AttemptEnd {
    /** The engine sent the end of the answer. */
    FINISHED(false),
    /** The connection was reset or closed before the end of the answer. */
    RESET(true),
    /** No stream of the endpoint made progress for longer than its silence limit. */
    SILENT(true),
    /** This stream made no progress while others of the endpoint did. */
    STALLED(false),
    /** The first token did not arrive within its bound. */
    NO_FIRST_TOKEN(false),
    /** A chunk did not start where the journal ends. */
    GAP(false),
    /** A chunk repeated a position with another token. */
    MISMATCH(false),
    /** No connection to the endpoint could be made. */
    UNREACHABLE(false),
    /** The engine refused the request or answered with an error. */
    REFUSED(false),
    /** The generation was suspended for other work. */
    SUSPENDED(false),
    /** This router does not own the generation any more, or nobody waits for it. */
    ABANDONED(false);

    private final boolean endpointLost;

    AttemptEnd(boolean endpointLost) {
        this.endpointLost = endpointLost;
    }

    /** Returns whether the end may mean that the endpoint died while it ran the attempt. */
    public boolean endpointLost() {
        return endpointLost;
    }
}
