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

/** Holds all waiting work of one router, by target and rank and by deadline. */
final class WorkQueues {
    private final Map<Rank, VirtualCounters> counters;
    private final Map<Target, Map<Rank, FairQueue>> queues = new TreeMap<>();
    private final Map<Rank, Map<AccountId, Integer>> waiting = new EnumMap<>(Rank.class);
    private final TreeSet<Work> byDeadline =
            new TreeSet<>(
                    Comparator.<Work>comparingLong(w -> w.deadline)
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

    /** Returns when the first of the requests that {@code request} would queue behind came. */
    long waitingSince(WorkRequest request) {
        FairQueue queue = get(request.target(), request.rank());
        return queue == null ? Long.MAX_VALUE : queue.waitingSince(request.account());
    }

    /** Returns how many accounts wait in {@code rank}. */
    int waitingAccounts(Rank rank) {
        return waiting.get(rank).size();
    }

    void add(Work work) {
        WorkRequest r = work.request;
        queue(r.target(), r.rank()).add(work);
        byDeadline.add(work);
        size++;
        waiting.get(r.rank()).merge(r.account(), 1, Integer::sum);
    }

    /** Removes {@code work}; returns whether it waited. */
    boolean remove(Work work) {
        WorkRequest r = work.request;
        Map<Rank, FairQueue> ranks = queues.get(r.target());
        FairQueue queue = ranks == null ? null : ranks.get(r.rank());
        if (queue == null || !queue.remove(work)) {
            return false;
        }
        byDeadline.remove(work);
        size--;
        waiting.get(r.rank()).compute(r.account(), (a, n) -> n == 1 ? null : n - 1);
        if (queue.isEmpty()) {
            ranks.remove(r.rank());
            if (ranks.isEmpty()) {
                queues.remove(r.target());
            }
        }
        return true;
    }

    /** Returns the queue, or null when nothing of the target and rank waits. */
    FairQueue get(Target target, Rank rank) {
        Map<Rank, FairQueue> ranks = queues.get(target);
        return ranks == null ? null : ranks.get(rank);
    }

    /** Returns the targets that have waiting work. */
    List<Target> targets() {
        return new ArrayList<>(queues.keySet());
    }

    /** Returns the waiting work whose deadline comes first, or null when none waits. */
    Work earliest() {
        return byDeadline.isEmpty() ? null : byDeadline.first();
    }

    /** Moves {@code account} to the place of its present counter in all queues of {@code rank}. */
    void rekey(Rank rank, AccountId account) {
        if (!waiting.get(rank).containsKey(account)) {
            return;
        }
        for (Map<Rank, FairQueue> ranks : queues.values()) {
            FairQueue queue = ranks.get(rank);
            if (queue != null) {
                queue.rekey(account);
            }
        }
    }

    private FairQueue queue(Target target, Rank rank) {
        return queues.computeIfAbsent(target, t -> new EnumMap<>(Rank.class))
                .computeIfAbsent(rank, r -> new FairQueue(target, r, counters.get(r)));
    }
}
