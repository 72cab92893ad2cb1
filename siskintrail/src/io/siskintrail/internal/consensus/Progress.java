package io.siskintrail.internal.consensus;

/** What a leader knows of one other replica. */
final class Progress {

    /** How entries are sent. */
    enum Mode {
        /** One batch at a time until a match is found. */
        PROBE,
        /** Batch after batch without waiting. */
        REPLICATE,
        /** Pieces of a snapshot. */
        SNAPSHOT
    }

    Mode mode = Mode.PROBE;
    long next;
    long match;
    long heardAt;
    long ackedSentAt = Long.MIN_VALUE / 2;
    boolean probeSent;
    Snapshot snapshot;
    int offset;
    long chunkSentAt;

    Progress(long next, long heardAt) {
        this.next = next;
        this.heardAt = heardAt;
    }

    boolean hasRoom(int window) {
        return mode == Mode.PROBE ? !probeSent : next - 1 - match < window;
    }

    void heard(long now, long sentAt) {
        heardAt = now;
        ackedSentAt = Math.max(ackedSentAt, sentAt);
    }

    void matched(long index) {
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        mode = Mode.REPLICATE;
        probeSent = false;
        snapshot = null;
    }

    void rejected(long index, long hint) {
        if (index <= match) {
            return;
        }
        mode = Mode.PROBE;
        probeSent = false;
        next = Math.max(match + 1, Math.min(index, hint + 1));
    }

    void startSnapshot(Snapshot toSend) {
        mode = Mode.SNAPSHOT;
        snapshot = toSend;
        offset = 0;
        chunkSentAt = Long.MIN_VALUE / 2;
    }
}
