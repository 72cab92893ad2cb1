package io.siskintrail.storage;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.consensus.StoredState;
import java.util.ArrayList;
import java.util.List;

/** A store that lasts as long as the process, for trying out and for tests. */
public final class MemoryLogStore extends LogStore {
    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = HardState.INITIAL;
    private Snapshot snapshot;

    /** Starts from {@code initial}. */
    public MemoryLogStore(Snapshot initial) {
        snapshot = initial;
    }

    @Override
    public StoredState open() {
        return new StoredState(hardState, snapshot, entries);
    }

    @Override
    public void close() {}

    @Override
    protected void saveHardState(HardState state) {
        hardState = state;
    }

    @Override
    protected void append(List<LogEntry> more) {
        entries.addAll(more);
    }

    @Override
    protected void truncateFrom(long index) {
        entries.removeIf(e -> e.index() >= index);
    }

    @Override
    protected void saveSnapshot(Snapshot next, boolean resetsLog) {
        if (resetsLog) {
            entries.clear();
        }
        if (next.position().index() >= snapshot.position().index()) {
            snapshot = next;
        }
    }

    @Override
    protected void compactTo(long index) {
        entries.removeIf(e -> e.index() < index);
    }

    @Override
    protected void force() {}
}
