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
 * Holds the virtual token counters of one rank: the service of each account divided by its weight,
 * of this router and, with the lag of the exchange, of all others.
 *
 * <p>An account that has nothing in flight is lifted to the least counter among the active ones
 * when it comes back, so that idle time earns nothing. An account that uses less than its share may
 * fall behind the waiting ones by a bounded credit, which lets its bursts start at once. Values of
 * different routers are not comparable; only differences between accounts of one router are.
 */
final class VirtualCounters {
    private static final int SENDS = 3;
    private static final long WITHIN_MILLIS = 50;
    private static final Comparator<Entry> BY_COUNTER =
            Comparator.<Entry>comparingDouble(e -> e.counter).thenComparing(e -> e.account);

    private final Rank rank;
    private final ToDoubleFunction<AccountId> weights;
    private final Consumer<AccountId> onChange;
    private final Map<AccountId, Entry> entries = new TreeMap<>();
    private final TreeSet<Entry> active = new TreeSet<>(BY_COUNTER);
    private final TreeSet<Entry> backlogged = new TreeSet<>(BY_COUNTER);
    private double credit;
    private double activeWeight;
    private long withinAt = Long.MIN_VALUE / 2;
    private int withinSlots;
    private int within;
    private double lastLeast;

    /**
     * Makes empty counters.
     *
     * @param rank the rank
     * @param weights the weight of an account
     * @param onChange told of each account whose counter has changed
     */
    VirtualCounters(Rank rank, ToDoubleFunction<AccountId> weights, Consumer<AccountId> onChange) {
        this.rank = rank;
        this.weights = weights;
        this.onChange = onChange;
    }

    /** Sets how far a waiting account may be behind the others, in output tokens. */
    void credit(double tokens) {
        credit = tokens;
    }

    /** Returns the counter of {@code account}. */
    double counter(AccountId account) {
        Entry e = entries.get(account);
        return e == null ? lastLeast : e.counter;
    }

    /** Returns requests of {@code account} that wait or run on other routers. */
    int remoteInFlight(AccountId account) {
        Entry e = entries.get(account);
        return e == null ? 0 : e.remoteInFlight;
    }

    /** Returns requests of {@code account} that run on all routers. */
    int running(AccountId account) {
        Entry e = entries.get(account);
        return e == null ? 0 : e.running();
    }

    /** Returns the slots that {@code account} would have if all active accounts wanted more. */
    double nominalSlots(AccountId account, int slots) {
        double weight = weights.applyAsDouble(account);
        return slots * weight / Math.max(weight, activeWeight);
    }

    /**
     * Returns the requests that run of accounts with at most {@code factor} nominal shares; up to
     * {@link #WITHIN_MILLIS} old, since it takes a look at each active account.
     */
    int runningWithinShare(long now, int slots, double factor) {
        if (now - withinAt < WITHIN_MILLIS && slots == withinSlots) {
            return within;
        }
        int n = 0;
        for (Entry e : active) {
            int running = e.running();
            n += running <= factor * nominalSlots(e.account, slots) ? running : 0;
        }
        withinAt = now;
        withinSlots = slots;
        within = n;
        return n;
    }

    /** Charges {@code cost} for service given here; a negative cost corrects an earlier charge. */
    void charge(AccountId account, double cost) {
        Entry e = entry(account);
        e.service += cost;
        e.unsent = SENDS;
        add(e, cost);
    }

    /** Counts an admitted request. */
    void countRequest(AccountId account) {
        Entry e = entry(account);
        e.requests++;
        e.unsent = SENDS;
    }

    /** Notes how many requests of {@code account} wait and run here. */
    void update(AccountId account, int waiting, int running) {
        Entry e = entry(account);
        e.localWaiting = waiting;
        e.localInFlight = waiting + running;
        e.unsent = SENDS;
        refresh(e);
    }

    /** Returns what has changed since the last call, together with the accounts in flight. */
    List<PolicyMessage.UsageEntry> drainChanges() {
        List<PolicyMessage.UsageEntry> out = new ArrayList<>();
        for (Entry e : entries.values()) {
            if (e.unsent > 0 || e.localInFlight > 0) {
                e.unsent = Math.max(0, e.unsent - 1);
                out.add(e.toMessage(rank));
            }
        }
        return out;
    }

    /** Returns every account that was served or waits here, for a router that joins. */
    List<PolicyMessage.UsageEntry> all() {
        return new ArrayList<>(entries.values().stream().map(e -> e.toMessage(rank)).toList());
    }

    /**
     * Takes in what another router says of one account.
     *
     * @param baseline whether this is the first message of the sender, whose history is not charged
     * @return cost and requests served there since its last message
     */
    Remote merge(HostId from, PolicyMessage.UsageEntry usage, boolean baseline) {
        Entry e = entry(usage.account());
        Remote now =
                new Remote(usage.service(), usage.requests(), usage.inFlight(), usage.waiting());
        Remote last = baseline ? now : e.remotes.getOrDefault(from, Remote.NONE);
        double service = now.service - last.service;
        long requests = now.requests - last.requests;
        e.remotes.put(from, now);
        e.sumRemotes();
        add(e, service);
        refresh(e);
        return new Remote(service, requests, 0, 0);
    }

    /** Forgets what {@code router} had in flight, but not what it served. */
    void forget(HostId router) {
        for (Entry e : entries.values()) {
            Remote r = e.remotes.get(router);
            if (r != null) {
                e.remotes.put(router, new Remote(r.service, r.requests, 0, 0));
                e.sumRemotes();
                refresh(e);
            }
        }
    }

    /** Forgets all counts of {@code router}, which has started again from zero. */
    void restart(HostId router) {
        forget(router);
        entries.values().forEach(e -> e.remotes.remove(router));
    }

    /** Returns the accounts that were seen, in order of their ids. */
    List<AccountId> accounts() {
        return List.copyOf(entries.keySet());
    }

    private Entry entry(AccountId account) {
        return entries.computeIfAbsent(account, a -> new Entry(a, lastLeast));
    }

    private void add(Entry e, double cost) {
        if (cost == 0) {
            return;
        }
        move(e, e.counter + cost / weights.applyAsDouble(e.account));
    }

    private void move(Entry e, double counter) {
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

    private void refresh(Entry e) {
        boolean nowActive = e.localInFlight + e.remoteInFlight > 0;
        boolean nowWaiting = e.localWaiting + e.remoteWaiting > 0;
        if (nowActive && !active.contains(e)) {
            lift(e, active.isEmpty() ? lastLeast : active.first().counter);
            active.add(e);
            e.activeWeight = weights.applyAsDouble(e.account);
            activeWeight += e.activeWeight;
        }
        if (nowWaiting && !backlogged.contains(e)) {
            if (!backlogged.isEmpty()) {
                lift(e, backlogged.first().counter - credit / weights.applyAsDouble(e.account));
            }
            backlogged.add(e);
        }
        if (!nowWaiting) {
            backlogged.remove(e);
        }
        if (!nowActive && active.remove(e)) {
            activeWeight -= e.activeWeight;
            lastLeast = Math.max(lastLeast, active.isEmpty() ? e.counter : active.first().counter);
        }
    }

    private void lift(Entry e, double least) {
        if (e.counter < least) {
            move(e, least);
        }
    }

    /** Counts of one account on one other router. */
    record Remote(double service, long requests, int inFlight, int waiting) {
        private static final Remote NONE = new Remote(0, 0, 0, 0);
    }

    private static final class Entry {
        private final AccountId account;
        private final Map<HostId, Remote> remotes = new HashMap<>();
        private double counter;
        private double service;
        private double activeWeight;
        private long requests;
        private int localWaiting;
        private int localInFlight;
        private int remoteWaiting;
        private int remoteInFlight;
        private int unsent;

        private Entry(AccountId account, double counter) {
            this.account = account;
            this.counter = counter;
        }

        private int running() {
            return localInFlight - localWaiting + remoteInFlight - remoteWaiting;
        }

        private void sumRemotes() {
            remoteWaiting = remotes.values().stream().mapToInt(Remote::waiting).sum();
            remoteInFlight = remotes.values().stream().mapToInt(Remote::inFlight).sum();
        }

        private PolicyMessage.UsageEntry toMessage(Rank rank) {
            return new PolicyMessage.UsageEntry(
                    account, rank, service, requests, localInFlight, localWaiting);
        }
    }
}
