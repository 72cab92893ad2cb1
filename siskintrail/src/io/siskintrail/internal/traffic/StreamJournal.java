package io.siskintrail.internal.traffic;

/**
 * Follows which events of a stream the client has. An event is delivered when it is the next one;
 * repeats after a resumption are dropped; a gap means that the attempt cannot be used. Not safe for
 * use by several threads.
 */
public final class StreamJournal {
    private long lastId;
    private boolean started;

    /** What is to be done with an event. */
    public enum Verdict {
        /** The next one: to be delivered. */
        DELIVER,
        /** The client has it already. */
        REPEATED,
        /** An event before it is missing. */
        GAP
    }

    /**
     * Begins a journal.
     *
     * @param lastId the last event that the client has; -1 when it has none
     */
    public StreamJournal(long lastId) {
        this.lastId = lastId;
        this.started = lastId >= 0;
    }

    /** Takes the event {@code id} and says what is to be done with it. */
    public Verdict take(long id) {
        if (started && id <= lastId) {
            return Verdict.REPEATED;
        }
        if (started && id != lastId + 1) {
            return Verdict.GAP;
        }
        started = true;
        lastId = id;
        return Verdict.DELIVER;
    }

    /** Returns the last event that the client has; -1 when it has none. */
    public long lastId() {
        return lastId;
    }
}
