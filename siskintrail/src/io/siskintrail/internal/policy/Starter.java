package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Starts waiting work on the slots that this router holds, and suspends bulk generations. */
final class Starter {
    private static final long AFFINITY_HOLD_MILLIS = 30;
    private static final double AFFINITY_MIN_GAIN_MILLIS = 20;
    private static final int AFFINITY_MAX_QUEUE = 4;

    private final EndpointTable endpoints;
    private final Placement placement;
    private final WorkQueues queues;
    private final LeaseManager leases;
    private final Fairness fairness;
    private final StartAction onStart;
    private final Consumer<Work> onSuspend;
    private final Set<Work> bulk = new LinkedHashSet<>();
    private final Set<Work> suspending = new LinkedHashSet<>();
    private PolicyRules rules;

    /** Carries out a start. */
    interface StartAction {
        void start(long now, Work work, EndpointState endpoint);
    }

    Starter(
            EndpointTable endpoints,
            Placement placement,
            WorkQueues queues,
            LeaseManager leases,
            Fairness fairness,
            StartAction onStart,
            Consumer<Work> onSuspend) {
        this.endpoints = endpoints;
        this.placement = placement;
        this.queues = queues;
        this.leases = leases;
        this.fairness = fairness;
        this.onStart = onStart;
        this.onSuspend = onSuspend;
    }

    void rules(PolicyRules newRules) {
        rules = newRules;
    }

    /** Returns the bulk generations that are being suspended for urgent work. */
    int suspending() {
        return suspending.size();
    }

    /** Returns the bulk generations that are being suspended for other routers. */
    int suspendingForOthers() {
        int urgent = 0;
        for (Target target : queues.targets()) {
            FairQueue queue = queues.get(target, Rank.URGENT);
            urgent += queue == null ? 0 : queue.size();
        }
        return Math.max(0, suspending.size() - urgent);
    }

    /** Forgets work that runs no more. */
    void left(Work work) {
        bulk.remove(work);
        suspending.remove(work);
    }

    /** Starts what can be started now. */
    void pump(long now) {
        int asked = leases.takeSuspendAsked();
        while (asked > 0 && suspendOne(now, null)) {
            asked--;
        }
        for (Target target : queues.targets()) {
            while (startOne(now, target)) {
                continue;
            }
            suspendFor(now, target);
        }
    }

    private boolean startOne(long now, Target target) {
        FairQueue urgent = queues.get(target, Rank.URGENT);
        FairQueue waitingBulk = queues.get(target, Rank.BULK);
        PoolView view = leases.view(target);
        boolean belowFloor =
                view.bulkRunning() - suspending.size()
                        < fairness.floorSlots(Rank.BULK, view.slots());
        Rank rank = PoolView.next(urgent != null, waitingBulk != null, belowFloor);
        if (rank == null) {
            return false;
        }
        Work work = (rank == Rank.URGENT ? urgent : waitingBulk).head();
        Placement.Choice choice = placement.choose(now, work, e -> usable(now, e, work));
        if (holds(now, work, choice)) {
            return false;
        }
        if (choice.usable() == null) {
            return false;
        }
        if (yields(work, view, belowFloor)) {
            leases.giveBack(choice.usable(), rank);
            return true;
        }
        queues.remove(work);
        if (rank == Rank.BULK) {
            bulk.add(work);
        }
        onStart.start(now, work, choice.usable());
        return true;
    }

    private int usable(long now, EndpointState e, Work work) {
        int n = leases.usable(now, e);
        boolean limited = n > 0 && work.request.rank() == Rank.BULK;
        return limited ? Math.min(n, leases.usableBulk(now, e)) : n;
    }

    /** Returns how many bulk generations in {@code pool} could be suspended now. */
    int suspendable(long now, String pool) {
        int n = 0;
        for (Work w : bulk) {
            n += w.endpoint.pool.equals(pool) && maySuspend(now, w, null) ? 1 : 0;
        }
        return n;
    }

    /** Decides whether {@code work} waits a moment for a slot where its prefix is cached. */
    private boolean holds(long now, Work work, Placement.Choice choice) {
        work.preferred = null;
        boolean young = now - work.arrivedAt < AFFINITY_HOLD_MILLIS;
        boolean crowded = queues.size() > AFFINITY_MAX_QUEUE;
        if (!young || crowded || work.request.prefix().length == 0 || choice.best() == null) {
            return false;
        }
        if (choice.usable() != null && choice.gainMillis() < AFFINITY_MIN_GAIN_MILLIS) {
            return false;
        }
        work.preferred = choice.best().info.id();
        return choice.usable() != choice.best();
    }

    /** Decides whether work on another router goes before {@code work}. */
    private boolean yields(Work work, PoolView view, boolean bulkBelowFloor) {
        Rank first =
                PoolView.next(view.urgentRival() != null, view.bulkRival() != null, bulkBelowFloor);
        if (first == null) {
            return false;
        }
        Rank own = work.request.rank();
        if (own != first) {
            boolean ownIsFirst = PoolView.next(true, true, bulkBelowFloor) == own;
            return !ownIsFirst;
        }
        AccountId rival = view.rival(first);
        AccountId account = work.request.account();
        double slack = fairness.step(own, account);
        return fairness.counter(own, account) > fairness.counter(own, rival) + slack;
    }

    private void suspendFor(long now, Target target) {
        FairQueue urgent = queues.get(target, Rank.URGENT);
        while (urgent != null && urgent.size() > suspending.size()) {
            PoolView view = leases.view(target);
            int left = view.bulkRunning() - suspending.size();
            if (left <= fairness.floorSlots(Rank.BULK, view.slots())) {
                return;
            }
            if (!suspendOne(now, target)) {
                return;
            }
        }
    }

    /**
     * Suspends the bulk generation that has the least to be computed again.
     *
     * @param target what its endpoint has to serve, or null for any
     */
    private boolean suspendOne(long now, Target target) {
        Work victim = null;
        for (Work w : bulk) {
            boolean better = victim == null || isCheaper(w, victim);
            if (better && maySuspend(now, w, target)) {
                victim = w;
            }
        }
        if (victim == null) {
            return false;
        }
        bulk.remove(victim);
        suspending.add(victim);
        onSuspend.accept(victim);
        return true;
    }

    private static boolean isCheaper(Work w, Work than) {
        if (w.suspensions != than.suspensions) {
            return w.suspensions < than.suspensions;
        }
        return w.promptTokens < than.promptTokens;
    }

    private boolean maySuspend(long now, Work w, Target target) {
        EndpointState e = w.endpoint;
        return endpoints.get(e.info.id()) == e
                && w.request.maxOutputTokens() > 0
                && w.suspensions < rules.maxSuspensions()
                && now - w.startedAt >= rules.minRunMillis()
                && (target == null || e.serves(target) && leases.usable(now, e) >= 0);
    }
}
