package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.consensus.EntryBody;
import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.storage.LogStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against deleting what was acknowledged because a part of the disk cannot be read. */
class ReplicaDiskTest {
    private static final int FLIPPED_OFFSET = 40;

    @TempDir private Path folder;

    @Test
    void damagedFilesAreKeptUnderOtherNames() throws IOException {
        long number = write(1, 5);
        damage();
        Map<String, byte[]> before = contents();
        ReplicaDisk disk = ReplicaDisk.of(folder);
        assertThat(disk.diskId()).isNotEqualTo(number);
        assertThat(disk.hasFilesAside()).isTrue();
        assertThat(read(disk).entries()).isEmpty();
        Map<String, byte[]> after = contents();
        before.remove("lock");
        before.forEach(
                (name, content) -> assertThat(after.get(name + ".aside-1")).isEqualTo(content));
        disk.close();
    }

    @Test
    void secondDamageKeepsTheFirstFilesToo() throws IOException {
        write(1, 5);
        damage();
        write(1, 3);
        damage();
        ReplicaDisk disk = ReplicaDisk.of(folder);
        assertThat(contents().keySet()).containsAtLeast("disk-id.aside-1", "disk-id.aside-2");
        assertThat(disk.hasFilesAside()).isTrue();
        disk.close();
    }

    @Test
    void filesAreDeletedOnceThereIsALogAgain() throws IOException {
        write(1, 5);
        damage();
        ReplicaDisk.of(folder).close();
        write(1, 3);
        ReplicaDisk disk = ReplicaDisk.of(folder);
        assertThat(disk.hasFilesAside()).isFalse();
        assertThat(contents().keySet().stream().filter(n -> n.contains("aside")).toList())
                .isEmpty();
        assertThat(read(disk).entries()).hasSize(3);
        disk.close();
    }

    /** A process can end while it renames; whatever is left must not count as a whole disk. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endedRenamingLeavesNoDiskWithPartOfItsLog(boolean logsMoved) throws IOException {
        long number = write(1, 5);
        Files.move(folder.resolve("disk-id"), folder.resolve("disk-id.aside-1"));
        if (logsMoved) {
            for (String name : contents().keySet()) {
                if (name.endsWith(".log")) {
                    Files.move(folder.resolve(name), folder.resolve(name + ".aside-1"));
                }
            }
        }
        ReplicaDisk disk = ReplicaDisk.of(folder);
        assertThat(disk.diskId()).isNotEqualTo(number);
        assertThat(disk.hasFilesAside()).isTrue();
        disk.close();
    }

    /** Writes entries and returns the number of the disk. */
    private long write(long from, long to) {
        ReplicaDisk disk = ReplicaDisk.of(folder);
        try (LogStore store = disk.open()) {
            store.open();
            store.write(new ReplicaEffect.SaveHardState(new HardState(1, null)));
            for (long i = from; i <= to; i++) {
                LogEntry entry =
                        new LogEntry(
                                new LogPosition(1, i),
                                0,
                                new EntryBody.Command(Payload.wrap(new byte[20])));
                store.write(new ReplicaEffect.AppendEntries(List.of(entry)));
                store.sync();
            }
        }
        disk.close();
        return disk.diskId();
    }

    private static StoredState read(ReplicaDisk disk) {
        try (LogStore store = disk.open()) {
            return store.open();
        }
    }

    /** Flips a bit in the oldest segment that has one there. */
    private void damage() throws IOException {
        for (Map.Entry<String, byte[]> file : contents().entrySet()) {
            if (file.getKey().endsWith(".log")) {
                byte[] bytes = file.getValue();
                bytes[Math.min(FLIPPED_OFFSET, bytes.length - 1)] ^= 1;
                Files.write(folder.resolve(file.getKey()), bytes);
            }
        }
    }

    private Map<String, byte[]> contents() throws IOException {
        Map<String, byte[]> contents = new HashMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                contents.put(file.getFileName().toString(), Files.readAllBytes(file));
            }
        }
        return contents;
    }
}
