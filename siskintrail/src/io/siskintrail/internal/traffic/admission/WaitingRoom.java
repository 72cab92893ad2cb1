package io.siskintrail.internal.traffic.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Admission queue for the requests of one service that no endpoint has room for, ordered by rank
 * and then by arrival. In a burst, urgent requests overtake waiting requests of lower priority, and
 * a request is rejected as soon as the forecast says that it cannot start in time, not when its
 * deadline has passed. Not thread-safe.
 *
 * @param <T> the type of the queued requests
 */
public final class WaitingRoom<T> {
    /**
     * A request keeps waiting if it would start in time with slots becoming free this many times
     * faster than forecast; a host with few requests knows the rate only within a factor of two.
     */
    private static final double OPTIMISM_FACTOR = 2;

    private final ReleaseRate rate;
    private final PriorityQueue<Waiting<T>> queue =
            new PriorityQueue<>(
                    Comparator.comparingInt((Waiting<T> entry) -> entry.rank)
                            .thenComparingLong(entry -> entry.sequence));
    private long nextSequence;

    /**
     * Entry of a queued request.
     *
     * @param <T> the type of the queued requests
     */
    public static final class Waiting<T> {
        private final T item;
        private final int rank;
        private final long sequence;
        private final long latestStart;

        Waiting(T item, int rank, long sequence, long latestStart) {
            this.item = item;
            this.rank = rank;
            this.sequence = sequence;
            this.latestStart = latestStart;
        }
    }

    /** Creates an empty queue that forecasts waiting times with {@code rate}. */
    public WaitingRoom(ReleaseRate rate) {
        this.rate = rate;
    }

    /** Returns the expected wait in milliseconds of a new request with {@code rank}. */
    public double expectedWaitMillis(long nowMillis, int rank) {
        int ahead = 0;
        for (Waiting<T> entry : queue) {
            if (entry.rank <= rank) {
                ahead++;
            }
        }
        return rate.expectedWaitMillis(nowMillis, ahead + 1);
    }

    /**
     * Queues a request if the forecast says that it can start in time.
     *
     * @param rank the priority; 0 is the most urgent
     * @param latestStart the deadline for the start, in monotonic milliseconds
     * @return the entry of the request, or null when it is rejected
     */
    public Waiting<T> tryEnqueue(long nowMillis, T item, int rank, long latestStart) {
        if (nowMillis + expectedWaitMillis(nowMillis, rank) > latestStart) {
            return null;
        }
        Waiting<T> entry = new Waiting<>(item, rank, nextSequence++, latestStart);
        queue.add(entry);
        return entry;
    }

    /** Removes an entry, if it is still queued. */
    public void remove(Waiting<T> entry) {
        queue.remove(entry);
    }

    /** Records that an endpoint has room for one more request. */
    public void recordRelease(long nowMillis) {
        rate.recordRelease(nowMillis);
    }

    /** Returns the head of the queue without removing it, or null when the queue is empty. */
    public T peekFirst() {
        Waiting<T> entry = queue.peek();
        return entry == null ? null : entry.item;
    }

    /** Removes the head of the queue. */
    public void removeFirst() {
        queue.poll();
    }

    /** Returns the number of queued requests. */
    public int size() {
        return queue.size();
    }

    /** Removes and returns the requests that can no longer start in time. */
    public List<T> removeTooLate(long nowMillis) {
        List<T> removed = new ArrayList<>();
        if (queue.isEmpty()) {
            return removed;
        }
        List<Waiting<T>> sorted = new ArrayList<>(queue);
        sorted.sort(queue.comparator());
        int ahead = 0;
        for (Waiting<T> entry : sorted) {
            if (cannotStartInTime(nowMillis, entry, ahead + 1)) {
                queue.remove(entry);
                removed.add(entry.item);
            } else {
                ahead++;
            }
        }
        return removed;
    }

    private boolean cannotStartInTime(long nowMillis, Waiting<T> entry, int position) {
        boolean isFirst = position == 1;
        double earliestWaitMillis =
                isFirst ? 0 : rate.expectedWaitMillis(nowMillis, position) / OPTIMISM_FACTOR;
        return nowMillis >= entry.latestStart || nowMillis + earliestWaitMillis > entry.latestStart;
    }
}
