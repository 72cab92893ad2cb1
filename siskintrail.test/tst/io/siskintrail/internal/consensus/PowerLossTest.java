package io.siskintrail.internal.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.internal.consensus.ModelFiles.Refusal;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.storage.StorageException;
import io.siskintrail.wire.ThriftRecordCodec;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** What a store still holds after a loss of power, each with many outcomes of that loss. */
class PowerLossTest {
    private static final int SEGMENT_BYTES = 300;
    private static final int LARGE_SEGMENT_BYTES = 1 << 20;
    private static final int SEEDS = 200;

    private final ModelFiles files = new ModelFiles();

    /** How a write ends without being synced, while the files can still be read. */
    enum End {
        KILL,
        REFUSED_SYNC
    }

    static LongStream seeds() {
        return LongStream.range(0, SEEDS);
    }

    /** Guards against reading what is left of removed segments as damage of the log. */
    @ParameterizedTest
    @MethodSource("seeds")
    void removalOfManySegmentsLeavesAReadableLog(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FileLogStore store = open(files, SEGMENT_BYTES);
        for (long i = 1; i <= 60; i++) {
            append(store, i, i);
            store.sync();
        }
        LogPosition covered = new LogPosition(1, 50);
        store.write(
                new ReplicaEffect.SaveSnapshot(
                        new Snapshot(covered, 0, ReplicaSet.NONE, Payload.EMPTY), false));
        store.sync();
        files.killAfter(1 + random.nextInt(12));
        attempt(() -> store.write(new ReplicaEffect.CompactTo(45)));
        files.restart();
        files.losePower(random);
        StoredState found = store(files, SEGMENT_BYTES).open();
        assertThat(found.snapshot().position()).isEqualTo(covered);
        assertThat(lastIndex(found)).isEqualTo(60);
    }

    /** Guards against taking a torn write of several records for damage of what was synced. */
    @ParameterizedTest
    @MethodSource("seeds")
    void tornWriteOfManyRecordsIsCut(long seed) {
        FileLogStore store = open(files, LARGE_SEGMENT_BYTES);
        append(store, 1, 5);
        store.sync();
        files.killAfter(1);
        append(store, 6, 15);
        attempt(store::sync);
        files.restart();
        files.losePower(new SplittableRandom(seed));
        assertThat(lastIndex(store(files, LARGE_SEGMENT_BYTES).open())).isAtLeast(5);
    }

    /** Guards against building on what a process found and nobody has synced. */
    @ParameterizedTest
    @EnumSource
    void whatAProcessFindsStaysAfterALossOfPower(End end) {
        for (long seed = 0; seed < SEEDS; seed++) {
            ModelFiles folder = new ModelFiles();
            FileLogStore store = open(folder, LARGE_SEGMENT_BYTES);
            append(store, 1, 5);
            store.sync();
            append(store, 6, 8);
            leaveUnsynced(folder, store, end);
            FileLogStore next = store(folder, LARGE_SEGMENT_BYTES);
            long found = lastIndex(next.open());
            append(next, found + 1, found + 3);
            next.sync();
            folder.restart();
            folder.losePower(new SplittableRandom(seed));
            assertWithMessage("entries after a loss of power, seed %s", seed)
                    .that(lastIndex(store(folder, LARGE_SEGMENT_BYTES).open()))
                    .isEqualTo(found + 3);
        }
    }

    private static void leaveUnsynced(ModelFiles folder, FileLogStore store, End end) {
        if (end == End.KILL) {
            folder.killAfter(1);
        } else {
            folder.refuse(Refusal.SYNCS);
        }
        attempt(store::sync);
        folder.restart();
    }

    private static FileLogStore open(ModelFiles folder, int segmentBytes) {
        FileLogStore store = store(folder, segmentBytes);
        store.open();
        return store;
    }

    private static FileLogStore store(ModelFiles folder, int segmentBytes) {
        return new FileLogStore(folder, new ThriftRecordCodec(), segmentBytes);
    }

    private static void append(FileLogStore store, long from, long to) {
        List<LogEntry> entries =
                LongStream.rangeClosed(from, to).mapToObj(PowerLossTest::entry).toList();
        store.write(new ReplicaEffect.AppendEntries(entries));
    }

    private static LogEntry entry(long index) {
        Payload payload = Payload.wrap(("entry " + index).getBytes());
        return new LogEntry(new LogPosition(1, index), 0, new EntryBody.Command(payload));
    }

    private static long lastIndex(StoredState state) {
        return state.entries().get(state.entries().size() - 1).index();
    }

    private static void attempt(Runnable change) {
        try {
            change.run();
        } catch (StorageException expected) {
            // The process is gone, or the disk refuses.
        }
    }
}
