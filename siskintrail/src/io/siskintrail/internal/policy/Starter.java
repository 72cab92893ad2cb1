package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;

/** Starts waiting work on the slots that this router holds. */
final class Starter {
    private static final long AFFINITY_HOLD_MILLIS = 30;
    private static final double AFFINITY_MIN_GAIN_MILLIS = 20;
    private static final int AFFINITY_MAX_QUEUE = 4;

    private final Placement placement;
    private final WorkQueues queues;
    private final LeaseManager leases;
    private final Fairness fairness;
    private final StartAction onStart;
    private final Suspender suspender;

    /** Carries out a start. */
    interface StartAction {
        void start(long now, Work work, EndpointState endpoint);
    }

    Starter(
            Placement placement,
            WorkQueues queues,
            LeaseManager leases,
            Fairness fairness,
            Suspender suspender,
            StartAction onStart) {
        this.placement = placement;
        this.queues = queues;
        this.leases = leases;
        this.fairness = fairness;
        this.onStart = onStart;
        this.suspender = suspender;
    }

    /** Returns how many generations in {@code pool} are being suspended. */
    int suspending(String pool) {
        return suspender.suspending(pool);
    }

    /** Returns how many generations in {@code pool} could be suspended. */
    Suspensions suspendable(long now, String pool, int slots) {
        return Suspensions.of(suspender.possible(now, pool, slots));
    }

    /** Starts what can be started now. */
    void pump(long now) {
        Suspensions asked = leases.takeSuspendAsked();
        if (asked.sum() > 0) {
            suspend(now, asked);
        }
        for (Target target : queues.targets()) {
            while (startOne(now, target)) {
                continue;
            }
        }
    }

    private void suspend(long now, Suspensions asked) {
        int slots = leases.slots();
        for (SuspendKind kind : SuspendKind.values()) {
            for (int i = 0; i < asked.of(kind); i++) {
                suspender.suspendOne(now, kind, slots);
            }
        }
    }

    private boolean startOne(long now, Target target) {
        FairQueue urgent = queues.get(target, Rank.URGENT);
        FairQueue waitingBulk = queues.get(target, Rank.BULK);
        PoolView view = leases.view(target);
        boolean belowFloor =
                view.bulkRunning() - suspender.suspending(Rank.BULK)
                        < fairness.floorSlots(Rank.BULK, view.slots());
        Rank rank = PoolView.next(urgent != null, waitingBulk != null, belowFloor);
        if (rank == null) {
            return false;
        }
        boolean started =
                startHead(now, rank == Rank.URGENT ? urgent : waitingBulk, view, belowFloor);
        if (!started && rank == Rank.BULK && urgent != null) {
            return startHead(now, urgent, view, belowFloor);
        }
        return started;
    }

    private boolean startHead(long now, FairQueue queue, PoolView view, boolean belowFloor) {
        Work work = queue.head();
        Placement.Choice choice = placement.choose(now, work, e -> usable(now, e, work));
        if (holds(now, work, choice)) {
            return false;
        }
        if (choice.usable() == null) {
            return false;
        }
        boolean own = !leases.isFresh(choice.usable());
        if (own && yields(work, view, belowFloor)) {
            leases.giveBack(choice.usable(), queue.rank());
            return true;
        }
        queues.remove(work);
        leases.used(choice.usable());
        suspender.started(work);
        onStart.start(now, work, choice.usable());
        return true;
    }

    private int usable(long now, EndpointState e, Work work) {
        int n = leases.usable(now, e);
        boolean limited = n > 0 && work.request.rank() == Rank.BULK;
        return limited ? Math.min(n, leases.usableBulk(now, e)) : n;
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
        Rank own = work.request.rank();
        AccountId account = work.request.account();
        if (view.tight(own) && fairness.isOverShare(own, account, view.slots())) {
            return true;
        }
        Rank first =
                PoolView.next(view.urgentRival() != null, view.bulkRival() != null, bulkBelowFloor);
        if (first == null) {
            return false;
        }
        if (own != first) {
            boolean ownIsFirst = PoolView.next(true, true, bulkBelowFloor) == own;
            return !ownIsFirst;
        }
        AccountId rival = view.rival(first);
        return fairness.counter(own, account) > fairness.counter(own, rival);
    }
}
