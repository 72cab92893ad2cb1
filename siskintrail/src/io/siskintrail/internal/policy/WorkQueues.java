package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Holds all waiting requests of one router, by target and rank and by deadline. */
final class WorkQueues {
    private final Map<Rank, VirtualCounters> counters;
    private final Map<Target, Map<Rank, FairQueue>> queues = new TreeMap<>();
    private final Map<Rank, Map<AccountId, Integer>> waiting = new EnumMap<>(Rank.class);
    private final TreeSet<WorkItem> byDeadline =
            new TreeSet<>(
                    Comparator.<WorkItem>comparingLong(w -> w.deadlineMillis)
                            .thenComparingLong(w -> w.order));
    private int size;

    WorkQueues(Map<Rank, VirtualCounters> counters) {
        this.counters = counters;
        for (Rank rank : Rank.values()) {
            waiting.put(rank, new HashMap<>());
        }
    }

    int size() {
        return size;
    }

    int waiting(Rank rank, AccountId account) {
        return waiting.get(rank).getOrDefault(account, 0);
    }

    /**
     * Returns since when requests of the same target, rank and account as {@code request} wait;
     * {@code Long.MAX_VALUE} when none does.
     */
    long waitingSince(WorkRequest request) {
        FairQueue queue = get(request.target(), request.rank());
        return queue == null ? Long.MAX_VALUE : queue.waitingSince(request.account());
    }

    /** Returns the number of accounts with waiting requests of {@code rank}. */
    int waitingAccounts(Rank rank) {
        return waiting.get(rank).size();
    }

    void add(WorkItem work) {
        WorkRequest r = work.request;
        getOrCreateQueue(r.target(), r.rank()).add(work);
        byDeadline.add(work);
        size++;
        waiting.get(r.rank()).merge(r.account(), 1, Integer::sum);
    }

    /** Removes {@code work}; returns whether it was queued. */
    boolean remove(WorkItem work) {
        WorkRequest r = work.request;
        Map<Rank, FairQueue> queuesByRank = queues.get(r.target());
        FairQueue queue = queuesByRank == null ? null : queuesByRank.get(r.rank());
        if (queue == null || !queue.remove(work)) {
            return false;
        }
        byDeadline.remove(work);
        size--;
        waiting.get(r.rank()).compute(r.account(), (a, n) -> n == 1 ? null : n - 1);
        if (queue.isEmpty()) {
            queuesByRank.remove(r.rank());
            if (queuesByRank.isEmpty()) {
                queues.remove(r.target());
            }
        }
        return true;
    }

    /** Returns the queue, or null when no request of the target and rank waits. */
    FairQueue get(Target target, Rank rank) {
        Map<Rank, FairQueue> queuesByRank = queues.get(target);
        return queuesByRank == null ? null : queuesByRank.get(rank);
    }

    /** Returns the targets that have waiting requests. */
    List<Target> targets() {
        return new ArrayList<>(queues.keySet());
    }

    /** Returns the waiting request with the earliest deadline, or null when none waits. */
    WorkItem firstToExpire() {
        return byDeadline.isEmpty() ? null : byDeadline.first();
    }

    /** Re-sorts {@code account} by its current counter in all queues of {@code rank}. */
    void updateCounter(Rank rank, AccountId account) {
        if (!waiting.get(rank).containsKey(account)) {
            return;
        }
        for (Map<Rank, FairQueue> queuesByRank : queues.values()) {
            FairQueue queue = queuesByRank.get(rank);
            if (queue != null) {
                queue.updateCounter(account);
            }
        }
    }

    private FairQueue getOrCreateQueue(Target target, Rank rank) {
        return queues.computeIfAbsent(target, t -> new EnumMap<>(Rank.class))
                .computeIfAbsent(rank, r -> new FairQueue(target, r, counters.get(r)));
    }
}
