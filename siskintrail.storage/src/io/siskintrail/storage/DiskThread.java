package io.siskintrail.storage;

import io.siskintrail.internal.consensus.ReplicaEffect;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Owns the thread that writes to a store. Everything that waits when the thread gets to it is made
 * durable with one sync.
 */
public final class DiskThread {
    private static final long JOIN_MILLIS = 5_000;

    private final LogStore store;
    private final LongConsumer synced;
    private final Consumer<StorageException> failed;
    private final BlockingQueue<Job> queue = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::run, "control-disk");

    private volatile boolean stopping;

    private record Job(List<ReplicaEffect.Persist> changes, long number) {}

    /**
     * Prepares the thread.
     *
     * @param store an open store, used by this thread alone until {@link #stop}
     * @param synced called on the thread with the number up to which all is durable
     * @param failed called on the thread, once, when the store fails or the thread meets any other
     *     throwable, which it throws on: nothing is synced afterwards
     */
    public DiskThread(LogStore store, LongConsumer synced, Consumer<StorageException> failed) {
        this.store = store;
        this.synced = synced;
        this.failed = failed;
        thread.setDaemon(true);
    }

    /** Starts to write. */
    public void start() {
        thread.start();
    }

    /** Queues changes that are to be durable together; {@code number} names them. */
    public void submit(List<ReplicaEffect.Persist> changes, long number) {
        queue.add(new Job(changes, number));
    }

    /**
     * Stops after what is being written; what is queued behind is dropped. The thread is not
     * interrupted, because that would close the file that it writes to.
     */
    public void stop() {
        stopping = true;
        queue.add(new Job(List.of(), 0));
        try {
            thread.join(JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<Job> jobs = new ArrayList<>();
        try {
            while (!stopping) {
                jobs.clear();
                jobs.add(queue.take());
                queue.drainTo(jobs);
                if (stopping) {
                    return;
                }
                for (Job job : jobs) {
                    job.changes().forEach(store::write);
                }
                store.sync();
                synced.accept(jobs.get(jobs.size() - 1).number());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (StorageException e) {
            failed.accept(e);
        } catch (RuntimeException | Error e) {
            failed.accept(StorageException.broken(e));
            throw e;
        }
    }
}
