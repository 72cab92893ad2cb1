package io.siskintrail.storage;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.lib.ResultCode;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class DiskThreadTest {
    private static final long WAIT_SECONDS = 5;

    static Stream<Throwable> faults() {
        return Stream.of(
                new IllegalStateException("a defect"),
                new OutOfMemoryError("Java heap space"),
                new StackOverflowError());
    }

    /** Guards against a replica that never syncs again and does not know it. */
    @ParameterizedTest
    @MethodSource("faults")
    void anyThrowableOfAStoreIsTold(Throwable fault) throws InterruptedException {
        BlockingQueue<StorageException> told = new LinkedBlockingQueue<>();
        DiskThread thread = new DiskThread(throwing(fault), number -> {}, told::add);
        thread.start();
        thread.submit(List.of(new ReplicaEffect.SaveHardState(new HardState(1, null))), 1);
        StorageException failure = told.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(failure).isNotNull();
        assertThat(failure.failure().code()).isEqualTo(ResultCode.STORAGE_FAILED);
        assertThat(failure).hasCauseThat().isSameInstanceAs(fault);
        thread.stop();
    }

    private static LogStore throwing(Throwable fault) {
        return new LogStore() {
            @Override
            public StoredState open() {
                return new StoredState(HardState.INITIAL, Snapshot.EMPTY, List.of());
            }

            @Override
            public void close() {}

            @Override
            protected void saveHardState(HardState hardState) {}

            @Override
            protected void append(List<LogEntry> entries) {}

            @Override
            protected void truncateFrom(long index) {}

            @Override
            protected void saveSnapshot(Snapshot snapshot, boolean resetsLog) {}

            @Override
            protected void compactTo(long index) {}

            @Override
            protected void force() {
                if (fault instanceof Error e) {
                    throw e;
                }
                throw (RuntimeException) fault;
            }
        };
    }
}
