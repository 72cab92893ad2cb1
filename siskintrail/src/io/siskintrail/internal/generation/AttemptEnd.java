package io.siskintrail.internal.generation;

/** Reason why an attempt of a generation ended. */
public enum AttemptEnd {
    /** The engine completed the answer. */
    FINISHED(false),
    /** The connection was reset or closed before the end of the answer. */
    RESET(true),
    /** No stream of the endpoint sent a token for longer than its silence limit. */
    SILENT(true),
    /** This stream sent no token while other streams of the endpoint did. */
    STALLED(false),
    /** The first token did not arrive within its timeout. */
    NO_FIRST_TOKEN(false),
    /** A chunk started after the end of the journal, so tokens are missing. */
    GAP(false),
    /** A chunk contradicts the journal: another token at a known position, or an earlier end. */
    MISMATCH(false),
    /** The router could not connect to the endpoint. */
    UNREACHABLE(false),
    /** The engine refused the request or answered with an error. */
    REFUSED(false),
    /** The router suspended the generation to free its slot for urgent work. */
    SUSPENDED(false),
    /** This router lost ownership of the generation, or no caller is attached to it. */
    ABANDONED(false);

    private final boolean endpointLost;

    AttemptEnd(boolean endpointLost) {
        this.endpointLost = endpointLost;
    }

    /** Returns whether this reason may mean that the endpoint died while it ran the attempt. */
    public boolean endpointLost() {
        return endpointLost;
    }
}
