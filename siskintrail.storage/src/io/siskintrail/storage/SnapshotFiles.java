package io.siskintrail.storage;

import io.siskintrail.internal.consensus.RecordCodec;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.lib.ResultCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/** Writes snapshots so that either the old or the new one is there after a crash. */
final class SnapshotFiles {
    static final String SUFFIX = ".snapshot";

    /** Ends the names of files that are not whole yet; a crash may leave them behind. */
    static final String PART = ".part";

    private static final int CHECKSUM_BYTES = Integer.BYTES;

    private final StorageFiles files;
    private final RecordCodec codec;

    SnapshotFiles(StorageFiles files, RecordCodec codec) {
        this.files = files;
        this.codec = codec;
    }

    /** Returns the newest snapshot and removes what a crash left; empty when there is none. */
    Snapshot readNewest() throws IOException {
        for (String name : files.list()) {
            if (name.endsWith(PART)) {
                files.delete(name);
            }
        }
        List<String> names = names();
        return names.isEmpty() ? Snapshot.EMPTY : read(names.get(names.size() - 1));
    }

    /** Stores {@code snapshot} durably, then removes the ones before it. */
    void save(Snapshot snapshot) throws IOException {
        String name = "%016x%s".formatted(snapshot.position().index(), SUFFIX);
        byte[] body = codec.encode(snapshot);
        try (StorageFiles.Output out = files.append(name + PART)) {
            out.write(ByteBuffer.allocate(CHECKSUM_BYTES).putInt(checksum(body, 0)).flip());
            out.write(ByteBuffer.wrap(body));
            out.sync();
        }
        files.rename(name + PART, name);
        files.syncFolder();
        for (String old : names()) {
            if (old.compareTo(name) < 0) {
                files.delete(old);
            }
        }
    }

    private Snapshot read(String name) throws IOException {
        byte[] file = files.read(name);
        boolean sound =
                file.length >= CHECKSUM_BYTES
                        && ByteBuffer.wrap(file).getInt() == checksum(file, CHECKSUM_BYTES);
        if (!sound) {
            throw StorageException.damaged(
                    ResultCode.SNAPSHOT_DAMAGED, name, 0, "checksum does not match");
        }
        byte[] body = new byte[file.length - CHECKSUM_BYTES];
        System.arraycopy(file, CHECKSUM_BYTES, body, 0, body.length);
        return codec.decodeSnapshot(body);
    }

    private List<String> names() throws IOException {
        return files.list().stream().filter(n -> n.endsWith(SUFFIX)).toList();
    }

    private static int checksum(byte[] bytes, int from) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return (int) crc.getValue();
    }
}
