package io.siskintrail.internal.consensus;

import io.siskintrail.storage.StorageFiles;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder on a disk as POSIX describes it. A process reads what was written, synced or not, and a
 * kill changes nothing of that. A loss of power keeps what a sync covered; each write, creation,
 * renaming and removal after it is kept, lost or, if a write, torn, independently of the others.
 * What a refused sync was to cover stays readable, and no later sync covers it.
 */
final class ModelFiles implements StorageFiles {
    private static final int SECTOR_BYTES = 32;
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final TreeMap<String, ModelFile> seen = new TreeMap<>();
    private final List<FolderChange> unsyncedChanges = new ArrayList<>();
    private Map<String, ModelFile> synced = new HashMap<>();
    private int operationsLeft = UNLIMITED;
    private Refusal refusal = Refusal.NOTHING;
    private int process;

    /** What a disk does not do. */
    enum Refusal {
        NOTHING,
        /** Writes are taken, and syncs of them fail. */
        SYNCS,
        EVERYTHING
    }

    /** A change of the folder: what it does to the names that survive a loss of power. */
    private interface FolderChange {
        void apply(Map<String, ModelFile> names);
    }

    /** What a file holds, whatever its name. */
    private static final class ModelFile {
        private final List<Write> writes = new ArrayList<>();

        byte[] content() {
            int size = writes.stream().mapToInt(w -> w.bytes.length).sum();
            ByteBuffer all = ByteBuffer.allocate(size);
            writes.forEach(w -> all.put(w.bytes));
            return all.array();
        }

        void set(byte[] content) {
            writes.clear();
            writes.add(new Write(content, Durability.SYNCED));
        }

        void changeUnsynced(Durability to) {
            for (Write write : writes) {
                if (write.durability == Durability.WRITTEN) {
                    write.durability = to;
                }
            }
        }

        /** Keeps what was synced and some of the rest; a lost part before a kept one is zeros. */
        void losePower(SplittableRandom random, boolean allLost) {
            byte[] kept = new byte[0];
            for (Write write : writes) {
                byte[] survives = write.survivor(random, allLost);
                int end = kept.length + (survives == null ? 0 : write.bytes.length);
                byte[] next = Arrays.copyOf(kept, Math.max(kept.length, end));
                if (survives != null) {
                    System.arraycopy(survives, 0, next, kept.length, survives.length);
                }
                kept = next;
            }
            set(kept);
        }
    }

    private enum Durability {
        /** Only the process and its successors read it. */
        WRITTEN,
        /** A sync failed on it; later ones pass it over. */
        ABANDONED,
        /** Survives a loss of power. */
        SYNCED
    }

    /** Bytes that were appended with one call. */
    private static final class Write {
        private final byte[] bytes;
        private Durability durability;

        Write(byte[] bytes, Durability durability) {
            this.bytes = bytes;
            this.durability = durability;
        }

        /** Returns what is found in the place of this write, null when the file ends before. */
        byte[] survivor(SplittableRandom random, boolean allLost) {
            if (durability == Durability.SYNCED) {
                return bytes;
            }
            if (allLost || random.nextInt(3) == 0) {
                return null;
            }
            return random.nextBoolean() ? bytes : torn(random);
        }

        private byte[] torn(SplittableRandom random) {
            byte[] torn = new byte[bytes.length];
            for (int from = 0; from < bytes.length; from += SECTOR_BYTES) {
                int to = Math.min(bytes.length, from + SECTOR_BYTES);
                if (random.nextBoolean()) {
                    System.arraycopy(bytes, from, torn, from, to - from);
                }
            }
            return random.nextBoolean() ? torn : Arrays.copyOf(bytes, random.nextInt(bytes.length));
        }
    }

    /** Ends the process after {@code operations} more changes, in the middle of what it does. */
    void killAfter(int operations) {
        operationsLeft = operations;
    }

    /** Lets changes fail until {@link #repair} or {@link #restart}. */
    void refuse(Refusal what) {
        refusal = what;
    }

    void repair() {
        refusal = Refusal.NOTHING;
    }

    /** Hands the folder to the next process; the files of the one before are no longer written. */
    void restart() {
        operationsLeft = UNLIMITED;
        refusal = Refusal.NOTHING;
        process++;
    }

    /** Loses what no sync covered, or part of it. */
    void losePower(SplittableRandom random) {
        boolean allLost = random.nextInt(3) == 0;
        for (FolderChange change : unsyncedChanges) {
            if (!allLost && random.nextBoolean()) {
                change.apply(synced);
            }
        }
        unsyncedChanges.clear();
        seen.clear();
        seen.putAll(synced);
        seen.values().forEach(f -> f.losePower(random, allLost));
    }

    /** Returns a copy of what a process reads; nothing done to it changes this folder. */
    ModelFiles copy() {
        ModelFiles copy = new ModelFiles();
        for (Map.Entry<String, ModelFile> file : seen.entrySet()) {
            ModelFile content = new ModelFile();
            content.set(file.getValue().content());
            copy.seen.put(file.getKey(), content);
        }
        copy.synced = new HashMap<>(copy.seen);
        return copy;
    }

    @Override
    public List<String> list() {
        return List.copyOf(seen.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        return file(name).content();
    }

    @Override
    public Output append(String name) throws IOException {
        operate();
        ModelFile file = seen.get(name);
        if (file == null) {
            ModelFile created = new ModelFile();
            file = created;
            seen.put(name, created);
            unsyncedChanges.add(names -> names.put(name, created));
        }
        return new ModelOutput(file, process);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        operate();
        ModelFile file = file(from);
        seen.remove(from);
        seen.put(to, file);
        unsyncedChanges.add(
                names -> {
                    names.remove(from, file);
                    names.put(to, file);
                });
    }

    @Override
    public void delete(String name) throws IOException {
        operate();
        ModelFile file = file(name);
        seen.remove(name);
        unsyncedChanges.add(names -> names.remove(name, file));
    }

    @Override
    public void syncFolder() throws IOException {
        operate();
        unsyncedChanges.clear();
        synced = new HashMap<>(seen);
    }

    private ModelFile file(String name) throws IOException {
        ModelFile file = seen.get(name);
        if (file == null) {
            throw new IOException("no file " + name);
        }
        return file;
    }

    private void operate() throws IOException {
        if (refusal == Refusal.EVERYTHING) {
            throw new IOException("Input/output error");
        }
        if (operationsLeft == 0) {
            throw new IOException("killed");
        }
        operationsLeft--;
    }

    private final class ModelOutput implements Output {
        private final ModelFile file;
        private final int owner;

        ModelOutput(ModelFile file, int owner) {
            this.file = file;
            this.owner = owner;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            checkOwner();
            operate();
            byte[] written = new byte[bytes.remaining()];
            bytes.get(written);
            if (written.length > 0) {
                file.writes.add(new Write(written, Durability.WRITTEN));
            }
        }

        @Override
        public void sync() throws IOException {
            checkOwner();
            if (refusal != Refusal.NOTHING) {
                file.changeUnsynced(Durability.ABANDONED);
                throw new IOException("Input/output error");
            }
            operate();
            file.changeUnsynced(Durability.SYNCED);
        }

        @Override
        public void close() {}

        private void checkOwner() throws IOException {
            if (owner != process) {
                throw new IOException("file of a process that has ended");
            }
        }
    }
}
