package io.siskintrail.storage;

import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.function.LongSupplier;

/**
 * The folder that holds everything a host stores. Owns the lock that keeps a second process out,
 * and the number that names the disk.
 */
public final class DataFolder implements AutoCloseable {
    /** The disk number of the replicas that a new deployment begins with. */
    public static final long FIRST_DISK = 1;

    private static final String LOCK = "lock";
    private static final String IDENTITY = "disk-id";
    private static final String IDENTITY_PART = "disk-id.part";
    private static final int HEX = 16;

    private final FileChannel channel;
    private final DiskFiles files;
    private final long diskId;
    private final boolean isNew;

    private DataFolder(FileChannel channel, DiskFiles files, long diskId, boolean isNew) {
        this.channel = channel;
        this.files = files;
        this.diskId = diskId;
        this.isNew = isNew;
    }

    /**
     * Opens {@code folder}, which is made when it is missing, and gives it a random disk number
     * when it is new.
     */
    public static DataFolder open(Path folder) {
        return open(folder, DataFolder::randomDiskId);
    }

    /** Opens {@code folder} for the first replicas of a new deployment. */
    public static DataFolder openFirst(Path folder) {
        return open(folder, () -> FIRST_DISK);
    }

    private static DataFolder open(Path folder, LongSupplier newDiskId) {
        try {
            createDurably(folder.toAbsolutePath());
            FileChannel channel = lock(folder);
            try {
                return openLocked(channel, new DiskFiles(folder), newDiskId);
            } catch (IOException | StorageException e) {
                channel.close();
                throw e;
            }
        } catch (IOException e) {
            throw StorageException.failed("data folder " + folder, e);
        }
    }

    private static DataFolder openLocked(
            FileChannel channel, DiskFiles files, LongSupplier newDiskId) throws IOException {
        boolean isNew = !files.list().contains(IDENTITY);
        if (isNew) {
            checkEmpty(files);
            writeIdentity(files, newDiskId.getAsLong());
        }
        return new DataFolder(channel, files, readIdentity(files), isNew);
    }

    /** Returns the files in the folder. */
    public StorageFiles files() {
        return files;
    }

    /** Returns the number that the disk got when the folder was made. */
    public long diskId() {
        return diskId;
    }

    /** Returns whether the folder was made by this call. */
    public boolean isNew() {
        return isNew;
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw StorageException.failed("unlock", e);
        }
    }

    /** Makes a folder that a loss of power does not take away with all that is synced in it. */
    private static void createDurably(Path folder) throws IOException {
        if (Files.isDirectory(folder)) {
            return;
        }
        Path parent = folder.getParent();
        createDurably(parent);
        Files.createDirectories(folder);
        new DiskFiles(parent).syncFolder();
    }

    private static FileChannel lock(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException expected) {
            // Another owner in this process.
        }
        if (lock == null) {
            channel.close();
            throw new StorageException(
                    new Failure(ResultCode.DATA_FOLDER_IN_USE, "folder " + folder));
        }
        return channel;
    }

    private static void checkEmpty(DiskFiles files) throws IOException {
        for (String name : files.list()) {
            if (name.endsWith(Segment.SUFFIX) || name.endsWith(SnapshotFiles.SUFFIX)) {
                throw StorageException.damaged(
                        ResultCode.LOG_DAMAGED, IDENTITY, 0, "file is missing beside " + name);
            }
        }
    }

    private static long readIdentity(DiskFiles files) throws IOException {
        String hex = new String(files.read(IDENTITY), StandardCharsets.US_ASCII);
        try {
            return Long.parseUnsignedLong(hex, HEX);
        } catch (NumberFormatException e) {
            throw StorageException.damaged(
                    ResultCode.LOG_DAMAGED, IDENTITY, 0, "expected a hexadecimal number");
        }
    }

    private static void writeIdentity(DiskFiles files, long diskId) throws IOException {
        if (files.list().contains(IDENTITY_PART)) {
            files.delete(IDENTITY_PART);
        }
        byte[] text = Long.toHexString(diskId).getBytes(StandardCharsets.US_ASCII);
        try (StorageFiles.Output out = files.append(IDENTITY_PART)) {
            out.write(ByteBuffer.wrap(text));
            out.sync();
        }
        files.rename(IDENTITY_PART, IDENTITY);
        files.syncFolder();
    }

    private static long randomDiskId() {
        long id = new SecureRandom().nextLong();
        return id == FIRST_DISK ? id + 1 : id;
    }
}
