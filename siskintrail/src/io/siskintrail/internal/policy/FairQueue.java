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
 * Queues the requests of one target and rank. The account with the least virtual counter is next;
 * the requests of one account are served in order of arrival. Each operation takes at most O(log
 * accounts + log requests of the account).
 */
final class FairQueue {
    private final Target target;
    private final Rank rank;
    private final VirtualCounters counters;
    private final Map<AccountId, AccountQueue> queuesByAccount = new HashMap<>();
    private final TreeSet<AccountQueue> byCounter =
            new TreeSet<>(
                    Comparator.<AccountQueue>comparingDouble(q -> q.counter)
                            .thenComparing(q -> q.account));
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

    /** Returns the number of queued requests of {@code account}. */
    int size(AccountId account) {
        AccountQueue queue = queuesByAccount.get(account);
        return queue == null ? 0 : queue.works.size();
    }

    /**
     * Returns since when requests of {@code account} wait; {@code Long.MAX_VALUE} when none does.
     */
    long waitingSince(AccountId account) {
        AccountQueue queue = queuesByAccount.get(account);
        return queue == null ? Long.MAX_VALUE : queue.waitingSince;
    }

    /** Adds {@code work}, sorted by its order within the account. */
    void add(WorkItem work) {
        AccountId account = work.request.account();
        AccountQueue queue = queuesByAccount.get(account);
        if (queue == null) {
            queue = new AccountQueue(account, counters.counter(account), work.arrivedAtMillis);
            queuesByAccount.put(account, queue);
            byCounter.add(queue);
        }
        if (queue.works.put(work.order, work) == null) {
            size++;
        }
    }

    /** Removes {@code work}; returns whether it was queued. */
    boolean remove(WorkItem work) {
        AccountQueue queue = queuesByAccount.get(work.request.account());
        if (queue == null || queue.works.remove(work.order) == null) {
            return false;
        }
        size--;
        if (queue.works.isEmpty()) {
            queuesByAccount.remove(queue.account);
            byCounter.remove(queue);
        }
        return true;
    }

    /** Returns the next request without removing it, or null when none waits. */
    WorkItem head() {
        return size == 0 ? null : byCounter.first().works.firstEntry().getValue();
    }

    /** Returns the first request of each of the next {@code limit} accounts. */
    List<WorkItem> heads(int limit) {
        List<WorkItem> works = new ArrayList<>(Math.min(limit, byCounter.size()));
        for (AccountQueue queue : byCounter) {
            if (works.size() == limit) {
                break;
            }
            works.add(queue.works.firstEntry().getValue());
        }
        return works;
    }

    /** Re-sorts {@code account} by its current counter. */
    void updateCounter(AccountId account) {
        AccountQueue queue = queuesByAccount.get(account);
        if (queue != null) {
            byCounter.remove(queue);
            queue.counter = counters.counter(account);
            byCounter.add(queue);
        }
    }

    private static final class AccountQueue {
        private final AccountId account;
        private final TreeMap<Long, WorkItem> works = new TreeMap<>();
        private final long waitingSince;
        private double counter;

        private AccountQueue(AccountId account, double counter, long waitingSince) {
            this.waitingSince = waitingSince;
            this.account = account;
            this.counter = counter;
        }
    }
}
