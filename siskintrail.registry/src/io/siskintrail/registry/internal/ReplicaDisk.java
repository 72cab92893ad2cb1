package io.siskintrail.registry.internal;

import io.siskintrail.lib.ResultCode;
import io.siskintrail.service.LogEvent;
import io.siskintrail.storage.DataFolder;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.storage.LogStore;
import io.siskintrail.storage.StorageException;
import io.siskintrail.storage.StorageFiles;
import io.siskintrail.wire.ThriftRecordCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Owns the data folder of a replica. A folder that cannot be read in full is emptied and gets
 * another disk number, so that its replica joins like one whose disk was lost.
 */
final class ReplicaDisk {
    private static final System.Logger LOG = System.getLogger(ReplicaDisk.class.getName());

    /** Size of a log segment: the disks are small, and segments are deleted whole. */
    private static final long SEGMENT_BYTES = 2L << 20;

    private final DataFolder folder;
    private final StorageFiles files;

    private ReplicaDisk(DataFolder folder, UnaryOperator<StorageFiles> wrapper) {
        this.folder = folder;
        this.files = wrapper.apply(folder.files());
    }

    /** Opens the folder at {@code path}. */
    static ReplicaDisk of(Path path) {
        return of(path, UnaryOperator.identity());
    }

    /** Opens the folder at {@code path}; {@code wrapper} may put faults before its files. */
    static ReplicaDisk of(Path path, UnaryOperator<StorageFiles> wrapper) {
        ReplicaDisk disk = new ReplicaDisk(openSound(path), wrapper);
        try {
            LogStore trial = disk.open();
            trial.open();
            trial.close();
            return disk;
        } catch (StorageException e) {
            if (!isDamage(e)) {
                throw e;
            }
            disk.folder.close();
            return new ReplicaDisk(replace(path, e), wrapper);
        }
    }

    /** Returns the number of the disk. */
    long diskId() {
        return folder.diskId();
    }

    /** Returns a store on the folder; the one before must be closed. */
    LogStore open() {
        return new FileLogStore(files, new ThriftRecordCodec(), SEGMENT_BYTES);
    }

    /** Unlocks the folder; the last store must be closed. */
    void close() {
        folder.close();
    }

    private static DataFolder openSound(Path path) {
        try {
            return DataFolder.open(path);
        } catch (StorageException e) {
            if (!isDamage(e)) {
                throw e;
            }
            return replace(path, e);
        }
    }

    private static boolean isDamage(StorageException e) {
        ResultCode code = e.failure().code();
        return code == ResultCode.LOG_DAMAGED || code == ResultCode.SNAPSHOT_DAMAGED;
    }

    private static DataFolder replace(Path path, StorageException cause) {
        LogEvent.warning(LOG, "replica.disk.replaced")
                .with("code", cause.failure().code().number())
                .with("detail", cause.failure().detail())
                .write();
        try (Stream<Path> files = Files.list(path)) {
            for (Path file : List.copyOf(files.toList())) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot empty " + path, e);
        }
        return DataFolder.open(path);
    }
}
