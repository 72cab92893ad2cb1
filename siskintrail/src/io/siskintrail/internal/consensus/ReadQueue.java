package io.siskintrail.internal.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/** Reads that wait until this replica is sure that it still led when they were asked. */
final class ReadQueue {
    private final ReplicaCore core;
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    private record Waiting(long token, long askedAt, long index) {}

    ReadQueue(ReplicaCore core) {
        this.core = core;
    }

    /** Takes a read; it is refused while the term has no committed entry. */
    void add(long token, boolean termCommitted) {
        if (!termCommitted) {
            core.out.emit(new ReplicaEffect.ReadRefused(token, core.self));
            return;
        }
        waiting.add(new Waiting(token, core.now, core.commitIndex()));
    }

    /**
     * Answers the reads that are certain.
     *
     * @param confirmedAt the send time of the latest message that a majority acknowledged
     * @param leased whether the lease stands in for such a message
     */
    void answer(long confirmedAt, boolean leased) {
        while (!waiting.isEmpty() && (leased || waiting.peek().askedAt() < confirmedAt)) {
            Waiting w = waiting.poll();
            core.out.emit(new ReplicaEffect.ReadReady(w.token(), w.index()));
        }
    }

    void refuseAll() {
        for (Waiting w : waiting) {
            core.out.emit(new ReplicaEffect.ReadRefused(w.token(), core.leader));
        }
        waiting.clear();
    }
}
