package io.siskintrail.internal.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Holds requests of one service that no endpoint has room for: the most urgent first, then the one
 * that came first. Answers bursts of both ranks: urgent work passes work that waits, and a request
 * is turned away as soon as the forecast says that it cannot start in time, not when its time is
 * over. Not safe for use by several threads.
 *
 * @param <T> what waits
 */
public final class WaitingRoom<T> {
    /**
     * How many times faster than forecast room may become free for a request that goes on waiting;
     * the rate of a host that has few requests is known within a factor of two.
     */
    private static final double HOPE_FACTOR = 2;

    private final ReleaseRate rate;
    private final PriorityQueue<Waiting<T>> queue =
            new PriorityQueue<>(
                    Comparator.comparingInt((Waiting<T> w) -> w.rank)
                            .thenComparingLong(w -> w.number));
    private long nextNumber;

    /**
     * One that waits.
     *
     * @param <T> what waits
     */
    public static final class Waiting<T> {
        private final T item;
        private final int rank;
        private final long number;
        private final long latestStart;

        Waiting(T item, int rank, long number, long latestStart) {
            this.item = item;
            this.rank = rank;
            this.number = number;
            this.latestStart = latestStart;
        }
    }

    /** Makes an empty room whose forecasts come from {@code rate}. */
    public WaitingRoom(ReleaseRate rate) {
        this.rate = rate;
    }

    /** Returns the expected wait in milliseconds of a newcomer with {@code rank}. */
    public double forecastMillis(long nowMillis, int rank) {
        int ahead = 0;
        for (Waiting<T> w : queue) {
            if (w.rank <= rank) {
                ahead++;
            }
        }
        return rate.waitMillis(nowMillis, ahead + 1);
    }

    /**
     * Lets a request wait if it can start in time.
     *
     * @param latestStart until when a start is of use, in monotonic milliseconds
     * @return the place, or null when the forecast says that it is of no use
     */
    public Waiting<T> enter(long nowMillis, T item, int rank, long latestStart) {
        if (nowMillis + forecastMillis(nowMillis, rank) > latestStart) {
            return null;
        }
        Waiting<T> w = new Waiting<>(item, rank, nextNumber++, latestStart);
        queue.add(w);
        return w;
    }

    /** Gives up a place. */
    public void leave(Waiting<T> place) {
        queue.remove(place);
    }

    /** Notes that room for one request became free. */
    public void released(long nowMillis) {
        rate.released(nowMillis);
    }

    /** Returns the first in line without removing it, null when nobody waits. */
    public T first() {
        Waiting<T> w = queue.peek();
        return w == null ? null : w.item;
    }

    /** Removes the first in line. */
    public void removeFirst() {
        queue.poll();
    }

    /** Returns how many wait. */
    public int size() {
        return queue.size();
    }

    /** Removes and returns those for whom a start would come too late. */
    public List<T> removeHopeless(long nowMillis) {
        List<T> hopeless = new ArrayList<>();
        if (queue.isEmpty()) {
            return hopeless;
        }
        List<Waiting<T>> inOrder = new ArrayList<>(queue);
        inOrder.sort(queue.comparator());
        int ahead = 0;
        for (Waiting<T> w : inOrder) {
            if (isHopeless(nowMillis, w, ahead + 1)) {
                queue.remove(w);
                hopeless.add(w.item);
            } else {
                ahead++;
            }
        }
        return hopeless;
    }

    private boolean isHopeless(long nowMillis, Waiting<T> w, int position) {
        boolean first = position == 1;
        double soonest = first ? 0 : rate.waitMillis(nowMillis, position) / HOPE_FACTOR;
        return nowMillis >= w.latestStart || nowMillis + soonest > w.latestStart;
    }
}
