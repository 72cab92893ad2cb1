package io.siskintrail.registry.internal;

import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.service.LogEvent;
import io.siskintrail.storage.DataFolder;
import io.siskintrail.storage.DiskFiles;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.storage.LogStore;
import io.siskintrail.storage.StorageException;
import io.siskintrail.storage.StorageFiles;
import io.siskintrail.wire.ThriftRecordCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * Owns the data folder of a replica. The files of a folder that cannot be read in full are renamed
 * and kept, and the folder gets another disk number, so that its replica joins without a vote, like
 * one whose disk was lost. They are deleted at a later start, once the replica has got a log from
 * the others.
 */
final class ReplicaDisk {
    private static final System.Logger LOG = System.getLogger(ReplicaDisk.class.getName());

    /** Size of a log segment: the disks are small, and segments are deleted whole. */
    private static final long SEGMENT_BYTES = 2L << 20;

    /** Ends the names of files that were put aside, before the number of the occasion. */
    private static final String ASIDE = ".aside-";

    private static final String IDENTITY = "disk-id";
    private static final String LOCK = "lock";

    private final DataFolder folder;
    private final StorageFiles files;
    private final boolean hasFilesAside;

    private ReplicaDisk(DataFolder folder, StorageFiles files, boolean hasFilesAside) {
        this.folder = folder;
        this.files = files;
        this.hasFilesAside = hasFilesAside;
    }

    /** Opens the folder at {@code path}. */
    static ReplicaDisk of(Path path) {
        return of(path, UnaryOperator.identity());
    }

    /** Opens the folder at {@code path}; {@code wrapper} may put faults before its files. */
    static ReplicaDisk of(Path path, UnaryOperator<StorageFiles> wrapper) {
        try {
            return openSound(path, wrapper);
        } catch (StorageException e) {
            if (!isDamage(e)) {
                throw e;
            }
            putAside(path, e);
            return openSound(path, wrapper);
        }
    }

    /** Returns the number of the disk. */
    long diskId() {
        return folder.diskId();
    }

    /**
     * Returns whether files were put aside that the replica has not got back from the others. What
     * they held may have been acknowledged, so that this replica must not begin another log.
     */
    boolean hasFilesAside() {
        return hasFilesAside;
    }

    /** Returns a store on the folder; the one before must be closed. */
    LogStore open() {
        return store(files);
    }

    /** Unlocks the folder; the last store must be closed. */
    void close() {
        folder.close();
    }

    private static ReplicaDisk openSound(Path path, UnaryOperator<StorageFiles> wrapper) {
        DataFolder folder = DataFolder.open(path);
        try {
            StorageFiles files = wrapper.apply(folder.files());
            boolean hasLog = hasLog(files);
            List<String> aside = aside(files.list());
            if (hasLog) {
                for (String name : aside) {
                    files.delete(name);
                }
            }
            return new ReplicaDisk(folder, files, !hasLog && !aside.isEmpty());
        } catch (StorageException e) {
            folder.close();
            throw e;
        } catch (IOException e) {
            folder.close();
            throw new UncheckedIOException("cannot list or delete files of " + path, e);
        }
    }

    private static LogStore store(StorageFiles files) {
        return new FileLogStore(files, new ThriftRecordCodec(), SEGMENT_BYTES);
    }

    /** Reads the whole log once; returns whether it holds anything. */
    private static boolean hasLog(StorageFiles files) {
        try (LogStore store = store(files)) {
            StoredState stored = store.open();
            return stored.snapshot().position().index() > 0 || !stored.entries().isEmpty();
        }
    }

    /** Returns whether the disk holds something that cannot be read. */
    static boolean isDamage(StorageException e) {
        ResultCode code = e.failure().code();
        return code == ResultCode.LOG_DAMAGED || code == ResultCode.SNAPSHOT_DAMAGED;
    }

    /**
     * Renames all files, the disk number first: a folder without it is never read as a whole one,
     * whenever the process ends.
     */
    private static void putAside(Path path, StorageException cause) {
        StorageFiles files = new DiskFiles(path);
        try {
            List<String> names = files.list();
            String suffix =
                    ASIDE
                            + (1
                                    + aside(names).stream()
                                            .mapToInt(ReplicaDisk::number)
                                            .max()
                                            .orElse(0));
            LogEvent.warning(LOG, "replica.disk.replaced")
                    .with("code", cause.failure().code().number())
                    .with("detail", cause.failure().detail())
                    .with("aside", suffix)
                    .write();
            if (names.contains(IDENTITY)) {
                files.rename(IDENTITY, IDENTITY + suffix);
                files.syncFolder();
            }
            for (String name : names) {
                if (!name.equals(IDENTITY) && !name.equals(LOCK) && !name.contains(ASIDE)) {
                    files.rename(name, name + suffix);
                }
            }
            files.syncFolder();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot put the files of " + path + " aside", e);
        }
    }

    private static List<String> aside(List<String> names) {
        return names.stream().filter(n -> n.contains(ASIDE)).toList();
    }

    private static int number(String aside) {
        return Integer.parseInt(aside.substring(aside.lastIndexOf(ASIDE) + ASIDE.length()));
    }
}
