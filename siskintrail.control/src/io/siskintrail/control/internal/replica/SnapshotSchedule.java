package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.ReplicaInput;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Decides when a replica takes a snapshot and encodes it on a thread of its own. The replicas take
 * theirs at different times, so that the disks of a majority stay free; a large state is taken more
 * seldom, so that the work for each entry stays the same. Used on the control thread.
 */
final class SnapshotSchedule {
    private static final long IMAGE_BYTES_PER_ENTRY = 100;
    private static final System.Logger LOG = System.getLogger(SnapshotSchedule.class.getName());

    private final int minEntries;
    private final SplittableRandom random;
    private final Consumer<ReplicaInput.SnapshotTaken> taken;
    private final ExecutorService encoder =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread t = new Thread(task, "control-snapshot");
                        t.setDaemon(true);
                        return t;
                    });
    private long nextIndex;
    private volatile long imageBytes;
    private volatile boolean encoding;

    /**
     * Makes a schedule.
     *
     * @param minEntries the fewest entries between two snapshots
     * @param seed the seed of what keeps replicas apart
     * @param taken called on the thread of the encoder
     */
    SnapshotSchedule(int minEntries, long seed, Consumer<ReplicaInput.SnapshotTaken> taken) {
        this.minEntries = minEntries;
        this.random = new SplittableRandom(seed);
        this.taken = taken;
    }

    /** Notes that the state is now that of a snapshot at {@code index}. */
    void restored(long index) {
        long entries = Math.max(minEntries, imageBytes / IMAGE_BYTES_PER_ENTRY);
        nextIndex = index + entries + random.nextLong(entries);
    }

    /** Begins a snapshot when it is time. */
    void applied(StateRunner<?, ?, ?> runner) {
        long index = runner.appliedIndex();
        if (encoding || index < nextIndex) {
            return;
        }
        encoding = true;
        restored(index);
        Supplier<Payload> image = runner.capture();
        try {
            encoder.execute(() -> encode(index, image));
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "event=replica.snapshot.dropped");
        }
    }

    void stop() {
        encoder.shutdownNow();
    }

    private void encode(long index, Supplier<Payload> image) {
        try {
            Payload encoded = image.get();
            imageBytes = encoded.length();
            taken.accept(new ReplicaInput.SnapshotTaken(index, encoded));
        } finally {
            encoding = false;
        }
    }
}
