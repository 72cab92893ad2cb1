package io.siskintrail.internal.traffic.stream;

/**
 * Tracks which events of a stream were delivered to the client. The next event in sequence is
 * delivered; duplicates after a resumption are dropped; a gap means that the attempt is unusable.
 * Not thread-safe.
 */
public final class StreamJournal {
    private long lastId;
    private boolean started;

    /** How to handle an event. */
    public enum Verdict {
        /** The event is the next in sequence: deliver it. */
        DELIVER,
        /** The event was delivered already: drop it. */
        REPEATED,
        /** An earlier event is missing. */
        GAP
    }

    /**
     * Creates a journal.
     *
     * @param lastId the id of the last event that the client has received; -1 for none
     */
    public StreamJournal(long lastId) {
        this.lastId = lastId;
        this.started = lastId >= 0;
    }

    /** Returns how to handle the event {@code id}; records the event if it is to be delivered. */
    public Verdict acceptEvent(long id) {
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

    /** Returns the id of the last delivered event; -1 for none. */
    public long lastId() {
        return lastId;
    }
}
