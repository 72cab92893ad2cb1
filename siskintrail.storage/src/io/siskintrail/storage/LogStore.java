package io.siskintrail.storage;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.consensus.StoredState;
import java.io.IOException;
import java.util.List;

/**
 * Keeps the state of one replica. What was written is durable after the next {@link #sync}; after a
 * failure every later call fails, because nobody knows what the disk holds.
 *
 * <p>Used by one thread at a time.
 */
public abstract class LogStore implements AutoCloseable {
    private StorageException failed;

    /** Reads what is stored; to be called once, before the first write. */
    public abstract StoredState open();

    /** Writes one change. */
    public final void write(ReplicaEffect.Persist change) {
        attempt("write", () -> carryOut(change));
    }

    /** Makes every written change durable. */
    public final void sync() {
        attempt("sync", this::force);
    }

    /** Releases the store without making anything durable. */
    @Override
    public abstract void close();

    /** Stores the term and vote. */
    protected abstract void saveHardState(HardState hardState) throws IOException;

    /** Stores entries behind the stored ones. */
    protected abstract void append(List<LogEntry> entries) throws IOException;

    /** Removes entries from {@code index} on. */
    protected abstract void truncateFrom(long index) throws IOException;

    /** Stores a snapshot, and removes all entries if {@code resetsLog}. */
    protected abstract void saveSnapshot(Snapshot snapshot, boolean resetsLog) throws IOException;

    /** Allows entries before {@code index} to be removed. */
    protected abstract void compactTo(long index) throws IOException;

    /** Makes everything so far durable. */
    protected abstract void force() throws IOException;

    private void carryOut(ReplicaEffect.Persist change) throws IOException {
        if (change instanceof ReplicaEffect.SaveHardState s) {
            saveHardState(s.hardState());
        } else if (change instanceof ReplicaEffect.AppendEntries a) {
            append(a.entries());
        } else if (change instanceof ReplicaEffect.TruncateFrom t) {
            truncateFrom(t.index());
        } else if (change instanceof ReplicaEffect.SaveSnapshot s) {
            saveSnapshot(s.snapshot(), s.resetsLog());
        } else if (change instanceof ReplicaEffect.CompactTo c) {
            compactTo(c.index());
        }
    }

    private void attempt(String what, FileAction action) {
        if (failed != null) {
            throw failed;
        }
        try {
            action.run();
        } catch (IOException e) {
            failed = StorageException.failed(what, e);
            throw failed;
        }
    }

    private interface FileAction {
        void run() throws IOException;
    }
}
