package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * Holds the virtual token counters of one rank: the cost charged to each account, divided by its
 * weight, on this router and, with the lag of the usage exchange, on all others.
 *
 * <p>When an idle account sends requests again, its counter is raised to the least counter of the
 * active accounts, so that an account gains no priority from idle time. The counter of an account
 * that uses less than its share may be below those of the waiting accounts by a bounded credit, so
 * that its bursts start at once. Counters of different routers are not comparable; only differences
 * between accounts on one router are.
 */
final class VirtualCounters {
    private static final int SENDS_PER_CHANGE = 3;
    private static final long WITHIN_SHARE_TTL_MILLIS = 50;
    private static final Comparator<AccountEntry> BY_COUNTER =
            Comparator.<AccountEntry>comparingDouble(e -> e.counter).thenComparing(e -> e.account);

    private final Rank rank;
    private final ToDoubleFunction<AccountId> weights;
    private final Consumer<AccountId> onChange;
    private final Map<AccountId, AccountEntry> entries = new TreeMap<>();
    private final TreeSet<AccountEntry> active = new TreeSet<>(BY_COUNTER);
    private final TreeSet<AccountEntry> backlogged = new TreeSet<>(BY_COUNTER);
    private double burstCredit;
    private double activeWeight;
    private long withinShareAtMillis = Long.MIN_VALUE / 2;
    private int withinShareSlots;
    private int runningWithinShare;
    private double lastMinCounter;

    /**
     * Creates counters without accounts.
     *
     * @param rank the rank whose requests are counted
     * @param weights returns the weight of an account, above 0
     * @param onChange receives each account whose counter has changed
     */
    VirtualCounters(Rank rank, ToDoubleFunction<AccountId> weights, Consumer<AccountId> onChange) {
        this.rank = rank;
        this.weights = weights;
        this.onChange = onChange;
    }

    /** Sets how far the counter of a waiting account may be below the others, in output tokens. */
    void setBurstCredit(double tokens) {
        burstCredit = tokens;
    }

    /** Returns the counter of {@code account}; the last least counter for an unknown account. */
    double counter(AccountId account) {
        AccountEntry e = entries.get(account);
        return e == null ? lastMinCounter : e.counter;
    }

    /** Returns the number of requests of {@code account} that wait or run on other routers. */
    int remoteInFlight(AccountId account) {
        AccountEntry e = entries.get(account);
        return e == null ? 0 : e.remoteInFlight;
    }

    /** Returns the number of requests of {@code account} that run on all routers. */
    int running(AccountId account) {
        AccountEntry e = entries.get(account);
        return e == null ? 0 : e.running();
    }

    /** Returns the slots that {@code account} gets by weight when all active accounts want more. */
    double nominalSlots(AccountId account, int slots) {
        double weight = weights.applyAsDouble(account);
        return slots * weight / Math.max(weight, activeWeight);
    }

    /**
     * Returns the number of running requests of accounts that run at most {@code factor} times
     * their nominal share. The value may be up to {@link #WITHIN_SHARE_TTL_MILLIS} old, because
     * computing it iterates over all active accounts.
     */
    int runningWithinShare(long now, int slots, double factor) {
        if (now - withinShareAtMillis < WITHIN_SHARE_TTL_MILLIS && slots == withinShareSlots) {
            return runningWithinShare;
        }
        int n = 0;
        for (AccountEntry e : active) {
            int running = e.running();
            n += running <= factor * nominalSlots(e.account, slots) ? running : 0;
        }
        withinShareAtMillis = now;
        withinShareSlots = slots;
        runningWithinShare = n;
        return n;
    }

    /**
     * Charges {@code cost} for service on this router; a negative cost corrects an earlier charge.
     */
    void charge(AccountId account, double cost) {
        AccountEntry e = getOrCreateEntry(account);
        e.servedCost += cost;
        e.remainingSends = SENDS_PER_CHANGE;
        addCost(e, cost);
    }

    /** Counts an admitted request. */
    void countRequest(AccountId account) {
        AccountEntry e = getOrCreateEntry(account);
        e.requests++;
        e.remainingSends = SENDS_PER_CHANGE;
    }

    /** Sets how many requests of {@code account} wait and run on this router. */
    void update(AccountId account, int waiting, int running) {
        AccountEntry e = getOrCreateEntry(account);
        e.localWaiting = waiting;
        e.localInFlight = waiting + running;
        e.remainingSends = SENDS_PER_CHANGE;
        updateActivity(e);
    }

    /**
     * Returns the usage to send: accounts with requests in flight, and changed ones. Each change is
     * returned by {@link #SENDS_PER_CHANGE} calls.
     */
    List<PolicyMessage.UsageEntry> drainChangedUsage() {
        List<PolicyMessage.UsageEntry> usage = new ArrayList<>();
        for (AccountEntry e : entries.values()) {
            if (e.remainingSends > 0 || e.localInFlight > 0) {
                e.remainingSends = Math.max(0, e.remainingSends - 1);
                usage.add(e.toMessage(rank));
            }
        }
        return usage;
    }

    /** Returns the usage of all known accounts, for a router that joins. */
    List<PolicyMessage.UsageEntry> allUsage() {
        return new ArrayList<>(entries.values().stream().map(e -> e.toMessage(rank)).toList());
    }

    /**
     * Applies the usage of one account on another router.
     *
     * @param isFirstMessage whether the message is the first one of the sender, whose earlier usage
     *     is not charged
     * @return cost and requests since the last message of {@code from}
     */
    RemoteCounts merge(HostId from, PolicyMessage.UsageEntry usage, boolean isFirstMessage) {
        AccountEntry e = getOrCreateEntry(usage.account());
        RemoteCounts current =
                new RemoteCounts(
                        usage.servedCost(), usage.requests(), usage.inFlight(), usage.waiting());
        RemoteCounts previous =
                isFirstMessage ? current : e.remotes.getOrDefault(from, RemoteCounts.NONE);
        double servedCost = current.servedCost - previous.servedCost;
        long requests = current.requests - previous.requests;
        e.remotes.put(from, current);
        e.sumRemotes();
        addCost(e, servedCost);
        updateActivity(e);
        return new RemoteCounts(servedCost, requests, 0, 0);
    }

    /** Clears the requests in flight on {@code router}, but keeps the service charged for it. */
    void clearInFlight(HostId router) {
        for (AccountEntry e : entries.values()) {
            RemoteCounts r = e.remotes.get(router);
            if (r != null) {
                e.remotes.put(router, new RemoteCounts(r.servedCost, r.requests, 0, 0));
                e.sumRemotes();
                updateActivity(e);
            }
        }
    }

    /** Removes all counts of {@code router}, which has restarted and counts from zero. */
    void removeRemoteCounts(HostId router) {
        clearInFlight(router);
        entries.values().forEach(e -> e.remotes.remove(router));
    }

    /** Returns all known accounts, in order of account id. */
    List<AccountId> accounts() {
        return List.copyOf(entries.keySet());
    }

    private AccountEntry getOrCreateEntry(AccountId account) {
        return entries.computeIfAbsent(account, a -> new AccountEntry(a, lastMinCounter));
    }

    private void addCost(AccountEntry e, double cost) {
        if (cost == 0) {
            return;
        }
        setCounter(e, e.counter + cost / weights.applyAsDouble(e.account));
    }

    private void setCounter(AccountEntry e, double counter) {
        boolean wasActive = active.remove(e);
        boolean wasBacklogged = backlogged.remove(e);
        e.counter = counter;
        if (wasActive) {
            active.add(e);
        }
        if (wasBacklogged) {
            backlogged.add(e);
        }
        onChange.accept(e.account);
    }

    private void updateActivity(AccountEntry e) {
        boolean nowActive = e.localInFlight + e.remoteInFlight > 0;
        boolean nowWaiting = e.localWaiting + e.remoteWaiting > 0;
        if (nowActive && !active.contains(e)) {
            raiseTo(e, active.isEmpty() ? lastMinCounter : active.first().counter);
            active.add(e);
            e.activeWeight = weights.applyAsDouble(e.account);
            activeWeight += e.activeWeight;
        }
        if (nowWaiting && !backlogged.contains(e)) {
            if (!backlogged.isEmpty()) {
                raiseTo(
                        e,
                        backlogged.first().counter
                                - burstCredit / weights.applyAsDouble(e.account));
            }
            backlogged.add(e);
        }
        if (!nowWaiting) {
            backlogged.remove(e);
        }
        if (!nowActive && active.remove(e)) {
            activeWeight -= e.activeWeight;
            lastMinCounter =
                    Math.max(lastMinCounter, active.isEmpty() ? e.counter : active.first().counter);
        }
    }

    private void raiseTo(AccountEntry e, double minCounter) {
        if (e.counter < minCounter) {
            setCounter(e, minCounter);
        }
    }

    /** Counts of one account on one other router. */
    record RemoteCounts(double servedCost, long requests, int inFlight, int waiting) {
        private static final RemoteCounts NONE = new RemoteCounts(0, 0, 0, 0);
    }

    private static final class AccountEntry {
        private final AccountId account;
        private final Map<HostId, RemoteCounts> remotes = new HashMap<>();
        private double counter;
        private double servedCost;
        private double activeWeight;
        private long requests;
        private int localWaiting;
        private int localInFlight;
        private int remoteWaiting;
        private int remoteInFlight;
        private int remainingSends;

        private AccountEntry(AccountId account, double counter) {
            this.account = account;
            this.counter = counter;
        }

        private int running() {
            return localInFlight - localWaiting + remoteInFlight - remoteWaiting;
        }

        private void sumRemotes() {
            remoteWaiting = remotes.values().stream().mapToInt(RemoteCounts::waiting).sum();
            remoteInFlight = remotes.values().stream().mapToInt(RemoteCounts::inFlight).sum();
        }

        private PolicyMessage.UsageEntry toMessage(Rank rank) {
            return new PolicyMessage.UsageEntry(
                    account, rank, servedCost, requests, localInFlight, localWaiting);
        }
    }
}
