package io.siskintrail.internal.consensus;

import io.siskintrail.internal.consensus.ModelFiles.Refusal;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.storage.LogStore;
import io.siskintrail.storage.StorageException;
import io.siskintrail.wire.ThriftRecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The store that production uses, on a model of a disk. */
final class StoredDisk implements NodeDisk {
    /** A few entries, so that runs have many segments. */
    private static final int SEGMENT_BYTES = 600;

    /** The changes of the files that one sync makes: a write, and a sync of the file. */
    private static final int OPERATIONS_OF_SYNC = 2;

    /** More than the changes of the files that a few syncs make. */
    private static final int MAX_OPERATIONS_OF_SYNC = 12;

    private static final int ENDED_STARTS_ONE_IN = 12;

    private final ModelFiles files = new ModelFiles();
    private final List<ReplicaEffect.Persist> unsynced = new ArrayList<>();
    private LogStore store;

    /** Makes a disk that holds a snapshot. */
    StoredDisk(Snapshot initial) {
        store = store(files);
        store.open();
        store.write(new ReplicaEffect.SaveSnapshot(initial, true));
        store.sync();
    }

    @Override
    public void preset(HardState state, List<LogEntry> stored) {
        store.write(new ReplicaEffect.SaveHardState(state));
        store.write(new ReplicaEffect.AppendEntries(stored));
        store.sync();
    }

    @Override
    public void write(ReplicaEffect.Persist op) {
        unsynced.add(op);
    }

    @Override
    public int unsyncedCount() {
        return unsynced.size();
    }

    @Override
    public boolean sync(int count) {
        List<ReplicaEffect.Persist> first = unsynced.subList(0, count);
        try {
            first.forEach(store::write);
            store.sync();
            first.clear();
            return true;
        } catch (StorageException e) {
            return false;
        }
    }

    @Override
    public void kill(SplittableRandom random) {
        int most = random.nextBoolean() ? OPERATIONS_OF_SYNC : MAX_OPERATIONS_OF_SYNC;
        files.killAfter(random.nextInt(most));
        sync(random.nextInt(unsynced.size() + 1));
        unsynced.clear();
        files.restart();
    }

    @Override
    public void losePower(SplittableRandom random) {
        kill(random);
        files.losePower(random);
    }

    @Override
    public void refuse(SplittableRandom random) {
        files.refuse(random.nextBoolean() ? Refusal.EVERYTHING : Refusal.SYNCS);
    }

    @Override
    public void repair() {
        files.repair();
    }

    @Override
    public StoredState open(SplittableRandom random) {
        if (random.nextInt(ENDED_STARTS_ONE_IN) == 0) {
            files.killAfter(random.nextInt(MAX_OPERATIONS_OF_SYNC));
            tryOpen();
            files.restart();
            return null;
        }
        store = store(files);
        return store.open();
    }

    @Override
    public StoredState peek() {
        return store(files.copy()).open();
    }

    private void tryOpen() {
        try {
            store(files).open();
        } catch (StorageException e) {
            if (e.failure().code() != ResultCode.STORAGE_FAILED) {
                throw e;
            }
        }
    }

    private static LogStore store(ModelFiles files) {
        return new FileLogStore(files, new ThriftRecordCodec(), SEGMENT_BYTES);
    }
}
