package io.siskintrail.internal.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

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
    private final Deque<Flight> flights = new ArrayDeque<>();
    private long flightBytes;

    /** A batch that was sent and not acknowledged. */
    private record Flight(long lastIndex, long bytes) {}

    Progress(long next, long heardAt) {
        this.next = next;
        this.heardAt = heardAt;
    }

    /** Returns whether more may be sent before an answer comes. */
    boolean hasRoom(int windowEntries, long windowBytes) {
        return mode == Mode.PROBE
                ? !probeSent
                : next - 1 - match < windowEntries && flightBytes < windowBytes;
    }

    /** Notes that entries up to {@code lastIndex} are on the way. */
    void sent(long lastIndex, long bytes) {
        next = lastIndex + 1;
        flights.add(new Flight(lastIndex, bytes));
        flightBytes += bytes;
    }

    void heard(long now, long sentAt) {
        heardAt = now;
        ackedSentAt = Math.max(ackedSentAt, sentAt);
    }

    void matched(long index) {
        match = Math.max(match, index);
        while (!flights.isEmpty() && flights.peek().lastIndex() <= match) {
            flightBytes -= flights.poll().bytes();
        }
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
        clearFlights();
        next = Math.max(match + 1, Math.min(index, hint + 1));
    }

    void startSnapshot(Snapshot toSend) {
        mode = Mode.SNAPSHOT;
        clearFlights();
        snapshot = toSend;
        offset = 0;
        chunkSentAt = Long.MIN_VALUE / 2;
    }

    private void clearFlights() {
        flights.clear();
        flightBytes = 0;
    }
}
