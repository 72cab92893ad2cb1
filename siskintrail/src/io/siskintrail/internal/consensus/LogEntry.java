package io.siskintrail.internal.consensus;

import io.siskintrail.internal.replicated.LogPosition;

/**
 * One entry of the replicated log.
 *
 * @param position its place
 * @param atMillis the wall-clock time in milliseconds that the leader stamped; never decreases
 * @param body what it holds
 */
public record LogEntry(LogPosition position, long atMillis, EntryBody body) {

    /** Returns the index of the entry. */
    public long index() {
        return position.index();
    }

    /** Returns the term of the leader that wrote the entry. */
    public long term() {
        return position.term();
    }

    /** Returns the number of bytes that the entry adds to a message, about. */
    int size() {
        return body instanceof EntryBody.Command c ? c.payload().length() : 0;
    }
}
