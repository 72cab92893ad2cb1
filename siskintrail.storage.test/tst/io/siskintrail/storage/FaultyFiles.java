package io.siskintrail.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/** Files in memory whose writes and syncs fail on demand and whose unsynced bytes a crash tears. */
final class FaultyFiles implements StorageFiles {
    private final TreeMap<String, Content> files = new TreeMap<>();
    private int operationsLeft = Integer.MAX_VALUE;
    private long freeBytes = Long.MAX_VALUE;
    private boolean syncsFail;
    private boolean syncsIgnored;

    private static final class Content {
        private byte[] synced = new byte[0];
        private final ByteArrayOutputStream unsynced = new ByteArrayOutputStream();

        byte[] all() {
            byte[] tail = unsynced.toByteArray();
            byte[] all = Arrays.copyOf(synced, synced.length + tail.length);
            System.arraycopy(tail, 0, all, synced.length, tail.length);
            return all;
        }

        void set(byte[] bytes) {
            synced = bytes;
            unsynced.reset();
        }
    }

    /** Lets {@code count} more operations that change something succeed. */
    void failAfter(int count) {
        operationsLeft = count;
    }

    void fillDisk(long bytesLeft) {
        freeBytes = bytesLeft;
    }

    void failSyncs() {
        syncsFail = true;
    }

    void ignoreSyncs() {
        syncsIgnored = true;
    }

    /** Repairs the device and keeps a random part of what was not synced, perhaps with garbage. */
    void crash(Random random) {
        operationsLeft = Integer.MAX_VALUE;
        freeBytes = Long.MAX_VALUE;
        syncsFail = false;
        for (Content content : files.values()) {
            byte[] all = content.all();
            int keep = content.synced.length;
            if (all.length > keep) {
                int torn = keep + random.nextInt(all.length - keep + 1);
                byte[] rest = Arrays.copyOf(Arrays.copyOf(all, torn), all.length);
                content.set(random.nextBoolean() ? rest : Arrays.copyOf(all, torn));
            }
        }
    }

    void flip(String name, int offset) {
        byte[] bytes = files.get(name).all();
        bytes[offset] ^= 0x10;
        files.get(name).set(bytes);
    }

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) {
        return files.get(name).all();
    }

    @Override
    public Output append(String name) throws IOException {
        operate();
        Content content = files.computeIfAbsent(name, x -> new Content());
        return new Output() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                operate();
                byte[] b = new byte[bytes.remaining()];
                bytes.get(b);
                int fits = (int) Math.min(b.length, freeBytes);
                freeBytes -= fits;
                content.unsynced.write(b, 0, fits);
                if (fits < b.length) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void sync() throws IOException {
                operate();
                if (syncsFail) {
                    throw new IOException("Input/output error");
                }
                if (!syncsIgnored) {
                    content.set(content.all());
                }
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        operate();
        files.put(to, files.remove(from));
    }

    @Override
    public void delete(String name) throws IOException {
        operate();
        files.remove(name);
    }

    @Override
    public void syncFolder() throws IOException {
        operate();
    }

    private void operate() throws IOException {
        if (operationsLeft <= 0) {
            throw new IOException("device is gone");
        }
        operationsLeft--;
    }
}
