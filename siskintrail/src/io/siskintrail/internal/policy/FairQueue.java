package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds the waiting work of one target and rank. The account with the least virtual counter is
 * next; within an account, arrival order holds. Each operation costs at most the logarithm of the
 * accounts plus the logarithm of the account's own queue.
 */
final class FairQueue {
    private final Target target;
    private final Rank rank;
    private final VirtualCounters counters;
    private final Map<AccountId, Lane> lanes = new HashMap<>();
    private final TreeSet<Lane> order =
            new TreeSet<>(
                    Comparator.<Lane>comparingDouble(l -> l.key).thenComparing(l -> l.account));
    private int size;

    FairQueue(Target target, Rank rank, VirtualCounters counters) {
        this.target = target;
        this.rank = rank;
        this.counters = counters;
    }

    Target target() {
        return target;
    }

    Rank rank() {
        return rank;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns how many requests of {@code account} wait here. */
    int size(AccountId account) {
        Lane lane = lanes.get(account);
        return lane == null ? 0 : lane.works.size();
    }

    /** Returns when the queue of {@code account} was empty last; the far future when it is now. */
    long waitingSince(AccountId account) {
        Lane lane = lanes.get(account);
        return lane == null ? Long.MAX_VALUE : lane.since;
    }

    /** Adds {@code work} at the place that its order gives it. */
    void add(Work work) {
        AccountId account = work.request.account();
        Lane lane = lanes.get(account);
        if (lane == null) {
            lane = new Lane(account, counters.counter(account), work.arrivedAt);
            lanes.put(account, lane);
            order.add(lane);
        }
        if (lane.works.put(work.order, work) == null) {
            size++;
        }
    }

    /** Removes {@code work}; returns whether it was there. */
    boolean remove(Work work) {
        Lane lane = lanes.get(work.request.account());
        if (lane == null || lane.works.remove(work.order) == null) {
            return false;
        }
        size--;
        if (lane.works.isEmpty()) {
            lanes.remove(lane.account);
            order.remove(lane);
        }
        return true;
    }

    /** Returns the next work without removing it, or null when none waits. */
    Work head() {
        return size == 0 ? null : order.first().works.firstEntry().getValue();
    }

    /** Returns the first work of each of the next {@code limit} accounts. */
    List<Work> heads(int limit) {
        List<Work> out = new ArrayList<>(Math.min(limit, order.size()));
        for (Lane lane : order) {
            if (out.size() == limit) {
                break;
            }
            out.add(lane.works.firstEntry().getValue());
        }
        return out;
    }

    /** Moves {@code account} to the place of its present counter. */
    void rekey(AccountId account) {
        Lane lane = lanes.get(account);
        if (lane != null) {
            order.remove(lane);
            lane.key = counters.counter(account);
            order.add(lane);
        }
    }

    private static final class Lane {
        private final AccountId account;
        private final TreeMap<Long, Work> works = new TreeMap<>();
        private final long since;
        private double key;

        private Lane(AccountId account, double key, long since) {
            this.since = since;
            this.account = account;
            this.key = key;
        }
    }
}
