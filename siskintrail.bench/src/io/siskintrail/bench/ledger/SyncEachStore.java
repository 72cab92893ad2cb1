package io.siskintrail.bench.ledger;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.storage.LogStore;
import java.util.List;

/** Syncs after every single entry: what a log without group commit does. */
final class SyncEachStore extends LogStore {
    private final LogStore store;

    SyncEachStore(LogStore store) {
        this.store = store;
    }

    @Override
    public StoredState open() {
        return store.open();
    }

    @Override
    public void close() {
        store.close();
    }

    @Override
    protected void saveHardState(HardState hardState) {
        store.write(new ReplicaEffect.SaveHardState(hardState));
    }

    @Override
    protected void append(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            store.write(new ReplicaEffect.AppendEntries(List.of(entry)));
            store.sync();
        }
    }

    @Override
    protected void truncateFrom(long index) {
        store.write(new ReplicaEffect.TruncateFrom(index));
    }

    @Override
    protected void saveSnapshot(Snapshot snapshot, boolean resetsLog) {
        store.write(new ReplicaEffect.SaveSnapshot(snapshot, resetsLog));
    }

    @Override
    protected void compactTo(long index) {
        store.write(new ReplicaEffect.CompactTo(index));
    }

    @Override
    protected void force() {
        store.sync();
    }
}
