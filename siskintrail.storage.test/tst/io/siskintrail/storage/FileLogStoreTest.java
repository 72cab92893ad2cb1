package io.siskintrail.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FileLogStoreTest {
    private static final int SEGMENT_BYTES = 200;
    private static final int OPERATIONS = 60;

    private final FaultyFiles files = new FaultyFiles();

    @Test
    void findsWhatWasSyncedInManySegments() {
        write(300);
        StoredState found = store().open();
        assertThat(found.entries()).hasSize(300);
        assertThat(found.hardState().term()).isEqualTo(7);
        assertThat(files.list().size()).isGreaterThan(10);
    }

    @Test
    void compactionDeletesSegmentsBelowTheSnapshot() {
        FileLogStore store = write(300);
        int before = files.list().size();
        store.write(new ReplicaEffect.SaveSnapshot(PlainCodec.snapshot(1, 290), false));
        store.write(new ReplicaEffect.CompactTo(280));
        store.sync();
        assertThat(files.list().size()).isLessThan(before / 4);
        StoredState found = store().open();
        assertThat(found.snapshot()).isEqualTo(PlainCodec.snapshot(1, 290));
        assertThat(found.entries().get(0).index()).isAtMost(280);
        assertThat(found.hardState().term()).isEqualTo(7);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 3, 8, 12, 30, 60})
    void damagedMiddleIsRefusedWithFileAndOffset(int offset) {
        write(300);
        String name = files.list().get(2);
        files.flip(name, offset);
        StorageException e = assertThrows(StorageException.class, () -> store().open());
        assertThat(e.failure().code()).isEqualTo(ResultCode.LOG_DAMAGED);
        assertThat(e.failure().detail()).containsMatch("file " + name + ", offset \\d+");
    }

    @Test
    void damageBeforeASoundRecordOfTheNewestSegmentIsRefused() {
        FileLogStore store = new FileLogStore(files, new PlainCodec(), 1 << 20);
        store.open();
        append(store, 1, 20);
        store.sync();
        files.flip(files.list().get(0), 100);
        StorageException e = assertThrows(StorageException.class, () -> store().open());
        assertThat(e.failure().code()).isEqualTo(ResultCode.LOG_DAMAGED);
    }

    @Test
    void damagedSnapshotIsRefused() {
        FileLogStore store = write(10);
        store.write(new ReplicaEffect.SaveSnapshot(PlainCodec.snapshot(1, 9), false));
        store.sync();
        String name = files.list().stream().filter(n -> n.endsWith(".snapshot")).findAny().get();
        files.flip(name, 11);
        StorageException e = assertThrows(StorageException.class, () -> store().open());
        assertThat(e.failure().code()).isEqualTo(ResultCode.SNAPSHOT_DAMAGED);
        assertThat(e.failure().detail()).contains(name);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failedStoreStaysFailed(boolean diskFull) {
        FileLogStore store = write(10);
        if (diskFull) {
            files.fillDisk(5);
        } else {
            files.failSyncs();
        }
        append(store, 11, 12);
        StorageException e = assertThrows(StorageException.class, store::sync);
        assertThat(e.failure().code()).isEqualTo(ResultCode.STORAGE_FAILED);
        files.fillDisk(Long.MAX_VALUE);
        assertThrows(StorageException.class, store::sync);
        assertThrows(StorageException.class, () -> append(store, 13, 13));
        files.crash(new Random(1));
        assertThat(store().open().entries().size()).isAtLeast(10);
    }

    /**
     * Whatever operation the device dies at, what is found lies between last sync and last write.
     */
    @Property(seed = "4201", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void crashKeepsWhatWasSynced(@ForAll long seed) {
        assertThat(lossAfterCrash(seed, new FaultyFiles())).isNull();
    }

    @Test
    void oracleNoticesSyncsThatDoNothing() {
        boolean noticed = false;
        for (int seed = 0; seed < 50 && !noticed; seed++) {
            FaultyFiles device = new FaultyFiles();
            device.ignoreSyncs();
            noticed = lossAfterCrash(seed, device) != null;
        }
        assertThat(noticed).isTrue();
    }

    /** Returns what is wrong with the state after a crash at a random moment, null when nothing. */
    private static String lossAfterCrash(long seed, FaultyFiles device) {
        Random random = new Random(seed);
        FileLogStore store = new FileLogStore(device, new PlainCodec(), SEGMENT_BYTES);
        MemoryLogStore model = new MemoryLogStore(Snapshot.EMPTY);
        store.open();
        List<StoredState> allowed = new ArrayList<>(List.of(model.open()));
        device.failAfter(random.nextInt(3 * OPERATIONS));
        try {
            for (int i = 0; i < OPERATIONS; i++) {
                ReplicaEffect.Persist change = change(random, model.open());
                model.write(change);
                allowed.add(model.open());
                store.write(change);
                if (random.nextInt(3) == 0) {
                    store.sync();
                    allowed.subList(0, allowed.size() - 1).clear();
                }
            }
        } catch (StorageException expected) {
            // The device is gone.
        }
        device.crash(random);
        StoredState found;
        try {
            found = new FileLogStore(device, new PlainCodec(), SEGMENT_BYTES).open();
        } catch (StorageException e) {
            return e.getMessage();
        }
        boolean known = allowed.stream().anyMatch(state -> sameState(found, state));
        return known ? null : "found %s, allowed %s".formatted(found, allowed);
    }

    /** Compares what a replica would see; entries below the snapshot may stay behind. */
    private static boolean sameState(StoredState found, StoredState expected) {
        long covered = found.snapshot().position().index();
        return found.hardState().equals(expected.hardState())
                && covered >= expected.snapshot().position().index()
                && after(found, covered).equals(after(expected, covered));
    }

    private static List<LogEntry> after(StoredState state, long index) {
        return state.entries().stream().filter(e -> e.index() > index).toList();
    }

    private static ReplicaEffect.Persist change(Random random, StoredState now) {
        List<LogEntry> entries = now.entries();
        long snapshot = now.snapshot().position().index();
        long last = entries.isEmpty() ? snapshot : entries.get(entries.size() - 1).index();
        int kind = random.nextInt(10);
        if (kind == 0) {
            return new ReplicaEffect.SaveHardState(new HardState(now.hardState().term() + 1, null));
        }
        if (kind == 1 && last > snapshot) {
            return new ReplicaEffect.TruncateFrom(
                    snapshot + 1 + random.nextInt((int) (last - snapshot)));
        }
        if (kind == 2 && last > snapshot) {
            return new ReplicaEffect.SaveSnapshot(PlainCodec.snapshot(1, last), false);
        }
        if (kind == 3 && snapshot > 0) {
            return new ReplicaEffect.CompactTo(snapshot);
        }
        long term = now.hardState().term();
        return new ReplicaEffect.AppendEntries(
                List.of(PlainCodec.entry(term, last + 1, "entry" + random.nextInt(1000))));
    }

    private FileLogStore store() {
        return new FileLogStore(files, new PlainCodec(), SEGMENT_BYTES);
    }

    private FileLogStore write(int entries) {
        FileLogStore store = store();
        store.open();
        store.write(new ReplicaEffect.SaveHardState(new HardState(7, null)));
        append(store, 1, entries);
        store.sync();
        return store;
    }

    private static void append(FileLogStore store, int from, int to) {
        for (int i = from; i <= to; i++) {
            store.write(new ReplicaEffect.AppendEntries(List.of(PlainCodec.entry(1, i, "e" + i))));
            if (i % 5 == 0) {
                store.sync();
            }
        }
    }
}
