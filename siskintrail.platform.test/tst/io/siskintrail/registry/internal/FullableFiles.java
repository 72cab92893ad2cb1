package io.siskintrail.registry.internal;

import io.siskintrail.storage.StorageFiles;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Files on a disk that can be full. Thread-safe where the wrapped files are. */
final class FullableFiles implements StorageFiles {
    private final StorageFiles files;
    private final Refusal refusal;
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean full;

    /** How a full disk refuses. */
    enum Refusal {
        /** A write takes nothing. */
        WRITE,
        /** A write takes a part of the bytes. */
        PART_OF_A_WRITE,
        /** A write is taken, and its sync fails. */
        SYNC,
        /** A write takes nothing, and a file cannot be closed without an error. */
        WRITE_AND_CLOSE,
        /** Nothing can be written, made, renamed or deleted. */
        EVERYTHING
    }

    FullableFiles(StorageFiles files, Refusal refusal) {
        this.files = files;
        this.refusal = refusal;
    }

    void setFull(boolean isFull) {
        full = isFull;
    }

    /** Returns how often something was refused. */
    int refused() {
        return refused.get();
    }

    @Override
    public List<String> list() throws IOException {
        return files.list();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return files.read(name);
    }

    @Override
    public Output append(String name) throws IOException {
        check(Refusal.EVERYTHING);
        return new FullableOutput(files.append(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        check(Refusal.EVERYTHING);
        files.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        check(Refusal.EVERYTHING);
        files.delete(name);
    }

    @Override
    public void syncFolder() throws IOException {
        check(Refusal.EVERYTHING);
        files.syncFolder();
    }

    private void check(Refusal... refusals) throws IOException {
        if (full && List.of(refusals).contains(refusal)) {
            refused.incrementAndGet();
            throw new IOException("No space left on device");
        }
    }

    private final class FullableOutput implements Output {
        private final Output output;

        FullableOutput(Output output) {
            this.output = output;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            if (full && refusal == Refusal.PART_OF_A_WRITE) {
                output.write(bytes.slice(bytes.position(), bytes.remaining() / 2));
            }
            check(
                    Refusal.WRITE,
                    Refusal.PART_OF_A_WRITE,
                    Refusal.WRITE_AND_CLOSE,
                    Refusal.EVERYTHING);
            output.write(bytes);
        }

        @Override
        public void sync() throws IOException {
            check(Refusal.SYNC, Refusal.EVERYTHING);
            output.sync();
        }

        @Override
        public void close() throws IOException {
            output.close();
            check(Refusal.WRITE_AND_CLOSE, Refusal.EVERYTHING);
        }
    }
}
