package io.siskintrail.internal.consensus;

import io.siskintrail.internal.replicated.LogPosition;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/**
 * The entries behind a base position, the latest snapshot, the replica sets that the entries name,
 * and how far all of it is durable.
 */
final class RaftLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, ReplicaSet> replicaSets = new TreeMap<>();
    private final Deque<SyncPoint> unsynced = new ArrayDeque<>();
    private Snapshot snapshot;
    private LogPosition base;
    private long durableIndex;

    /** The last index as of a requested sync. */
    private record SyncPoint(long number, long lastIndex) {}

    /** Starts from what the disk holds. */
    RaftLog(StoredState stored) {
        snapshot = stored.snapshot();
        base = snapshot.position();
        replicaSets.put(base.index(), snapshot.replicas());
        if (continuesSnapshot(stored.entries(), base)) {
            List<LogEntry> usable = stored.entries();
            if (usable.get(0).index() <= base.index()) {
                base = usable.get(0).position();
                usable = usable.subList(1, usable.size());
            }
            usable.forEach(this::add);
        }
        durableIndex = lastIndex();
    }

    /** Returns whether {@code stored} holds entries that the snapshot has made useless. */
    static boolean isSuperseded(StoredState stored) {
        return !stored.entries().isEmpty()
                && !continuesSnapshot(stored.entries(), stored.snapshot().position());
    }

    private static boolean continuesSnapshot(List<LogEntry> entries, LogPosition position) {
        if (entries.isEmpty()) {
            return false;
        }
        long offset = position.index() - entries.get(0).index();
        if (offset < -1) {
            throw new IllegalArgumentException(
                    "log begins at %d, snapshot ends at %d"
                            .formatted(entries.get(0).index(), position.index()));
        }
        if (offset == -1) {
            return true;
        }
        return offset < entries.size() && entries.get((int) offset).position().equals(position);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long baseIndex() {
        return base.index();
    }

    LogPosition last() {
        return entries.isEmpty() ? base : entries.get(entries.size() - 1).position();
    }

    long lastIndex() {
        return base.index() + entries.size();
    }

    long lastAtMillis() {
        return entries.isEmpty() ? snapshot.atMillis() : entries.get(entries.size() - 1).atMillis();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - base.index() - 1));
    }

    /** Returns the position at {@code index}, which must be neither compacted nor past the end. */
    LogPosition position(long index) {
        return index == base.index() ? base : entry(index).position();
    }

    boolean matches(LogPosition position) {
        return position.index() >= base.index()
                && position.index() <= lastIndex()
                && position(position.index()).term() == position.term();
    }

    /** Returns the entries from {@code from} on, limited by number and payload bytes. */
    List<LogEntry> batch(long from, long to, int maxEntries, int maxBytes) {
        List<LogEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (long i = from; i <= to && batch.size() < maxEntries; i++) {
            LogEntry entry = entry(i);
            bytes += entry.size();
            if (bytes > maxBytes && !batch.isEmpty()) {
                break;
            }
            batch.add(entry);
        }
        return batch;
    }

    /** Returns the replica set in use: the one of the latest entry that names one. */
    ReplicaSet replicas() {
        return replicaSets.lastEntry().getValue();
    }

    /** Returns the index of the entry that {@link #replicas} comes from. */
    long replicasIndex() {
        return replicaSets.lastKey();
    }

    /** Returns the replica set as of {@code index} and all later ones. */
    Collection<ReplicaSet> replicaSetsFrom(long index) {
        return replicaSets.tailMap(replicaSets.floorKey(index), true).values();
    }

    ReplicaSet replicasAt(long index) {
        return replicaSets.floorEntry(index).getValue();
    }

    void add(LogEntry entry) {
        entries.add(entry);
        if (entry.body() instanceof EntryBody.Reconfiguration r
                && entry.index() > snapshot.position().index()) {
            replicaSets.put(entry.index(), r.replicas());
        }
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - base.index() - 1), entries.size()).clear();
        replicaSets.tailMap(index).clear();
        capDurable(index - 1);
    }

    /**
     * Returns the index before the run of entries that have the term of the one at {@code index}.
     */
    long indexBeforeTermOf(long index, long floor) {
        long term = position(index).term();
        long i = index;
        while (i > floor && position(i).term() == term) {
            i--;
        }
        return i;
    }

    /** Replaces the whole log by a snapshot. */
    void reset(Snapshot to) {
        snapshot = to;
        base = to.position();
        entries.clear();
        replicaSets.clear();
        replicaSets.put(base.index(), to.replicas());
        capDurable(0);
    }

    /** Takes a snapshot of the applied log; its entries stay until {@link #compactTo}. */
    void setSnapshot(Snapshot to) {
        snapshot = to;
        replicaSets.headMap(to.position().index()).clear();
        replicaSets.put(to.position().index(), to.replicas());
    }

    /** Returns the payload bytes of the entries behind {@code index}. */
    long bytesAfter(long index) {
        long bytes = 0;
        for (long i = Math.max(index, base.index()) + 1; i <= lastIndex(); i++) {
            bytes += entry(i).size();
        }
        return bytes;
    }

    /**
     * Returns the lowest index, at least that of the base, behind which the entries up to {@code
     * last} have at most {@code maxBytes} of payload.
     */
    long indexBeforeBytes(long last, long maxBytes) {
        long bytes = 0;
        long index = last;
        while (index > base.index() && bytes + entry(index).size() <= maxBytes) {
            bytes += entry(index).size();
            index--;
        }
        return index;
    }

    /** Drops entries up to {@code index}. */
    void compactTo(long index) {
        if (index <= base.index()) {
            return;
        }
        LogPosition next = position(index);
        entries.subList(0, (int) (index - base.index())).clear();
        base = next;
    }

    long durableIndex() {
        return durableIndex;
    }

    void syncRequested(long number) {
        unsynced.add(new SyncPoint(number, lastIndex()));
    }

    void synced(long number) {
        while (!unsynced.isEmpty() && unsynced.peek().number() <= number) {
            durableIndex = unsynced.poll().lastIndex();
        }
    }

    private void capDurable(long max) {
        durableIndex = Math.min(durableIndex, max);
        List<SyncPoint> points = new ArrayList<>(unsynced);
        unsynced.clear();
        points.forEach(p -> unsynced.add(new SyncPoint(p.number(), Math.min(p.lastIndex(), max))));
    }
}
