package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;

/** Starts waiting requests on the slots leased by this router. */
final class Starter {
    private static final long MAX_AFFINITY_WAIT_MILLIS = 30;
    private static final double MIN_AFFINITY_GAIN_MILLIS = 20;
    private static final int MAX_QUEUE_FOR_AFFINITY_WAIT = 4;

    private final Placement placement;
    private final WorkQueues queues;
    private final LeaseManager leases;
    private final Fairness fairness;
    private final StartAction onStart;
    private final Suspender suspender;

    /** Starts a request that was removed from its queue. */
    interface StartAction {
        void start(long now, WorkItem work, EndpointState endpoint);
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

    /** Returns how many generations in {@code pool} could be suspended, by kind. */
    SuspensionCounts suspendable(long now, String pool, int slots) {
        return SuspensionCounts.of(suspender.countSuspendable(now, pool, slots));
    }

    /** Performs requested suspensions and starts all waiting requests that can be started now. */
    void startWaiting(long now) {
        SuspensionCounts requested = leases.takeRequestedSuspensions();
        if (requested.sum() > 0) {
            suspendRequested(now, requested);
        }
        for (Target target : queues.targets()) {
            while (startOne(now, target)) {
                continue;
            }
        }
    }

    private void suspendRequested(long now, SuspensionCounts requested) {
        int slots = leases.slots();
        for (SuspendKind kind : SuspendKind.values()) {
            for (int i = 0; i < requested.of(kind); i++) {
                suspender.suspendOne(now, kind, slots);
            }
        }
    }

    private boolean startOne(long now, Target target) {
        FairQueue urgent = queues.get(target, Rank.URGENT);
        FairQueue bulk = queues.get(target, Rank.BULK);
        PoolView view = leases.view(target);
        boolean belowFloor =
                view.bulkRunning() - suspender.suspending(Rank.BULK)
                        < fairness.floorSlots(Rank.BULK, view.slots());
        Rank rank = PoolView.nextRank(urgent != null, bulk != null, belowFloor);
        if (rank == null) {
            return false;
        }
        boolean started = startHead(now, rank == Rank.URGENT ? urgent : bulk, view, belowFloor);
        if (!started && rank == Rank.BULK && urgent != null) {
            return startHead(now, urgent, view, belowFloor);
        }
        return started;
    }

    private boolean startHead(long now, FairQueue queue, PoolView view, boolean belowFloor) {
        WorkItem work = queue.head();
        Placement.Choice choice = placement.choose(now, work, e -> usableSlots(now, e, work));
        if (waitsForCachedPrefix(now, work, choice)) {
            return false;
        }
        if (choice.usable() == null) {
            return false;
        }
        boolean reusesSlot = !leases.hasSlotForWaitingWork(choice.usable());
        if (reusesSlot && yieldsToRemoteWork(work, view, belowFloor)) {
            leases.giveBack(choice.usable(), queue.rank());
            return true;
        }
        queues.remove(work);
        leases.recordStart(choice.usable());
        suspender.recordStart(work);
        onStart.start(now, work, choice.usable());
        return true;
    }

    private int usableSlots(long now, EndpointState e, WorkItem work) {
        int n = leases.usableSlots(now, e);
        boolean bulkLimited = n > 0 && work.request.rank() == Rank.BULK;
        return bulkLimited ? Math.min(n, leases.usableBulk(now, e)) : n;
    }

    /**
     * Returns whether {@code work} waits briefly for a slot on an endpoint with its prefix cached.
     */
    private boolean waitsForCachedPrefix(long now, WorkItem work, Placement.Choice choice) {
        work.preferredEndpoint = null;
        boolean withinMaxWait = now - work.arrivedAtMillis < MAX_AFFINITY_WAIT_MILLIS;
        boolean queueTooLong = queues.size() > MAX_QUEUE_FOR_AFFINITY_WAIT;
        if (!withinMaxWait
                || queueTooLong
                || work.request.prefixHashes().length == 0
                || choice.best() == null) {
            return false;
        }
        if (choice.usable() != null && choice.gainMillis() < MIN_AFFINITY_GAIN_MILLIS) {
            return false;
        }
        work.preferredEndpoint = choice.best().info.id();
        return choice.usable() != choice.best();
    }

    /** Returns whether {@code work} must leave its slot to other routers. */
    private boolean yieldsToRemoteWork(WorkItem work, PoolView view, boolean bulkBelowFloor) {
        Rank ownRank = work.request.rank();
        AccountId account = work.request.account();
        if (view.isOnlyHeadroomLeft(ownRank)
                && fairness.isOverShare(ownRank, account, view.slots())) {
            return true;
        }
        Rank firstRank =
                PoolView.nextRank(
                        view.remoteUrgentAccount() != null,
                        view.remoteBulkAccount() != null,
                        bulkBelowFloor);
        if (firstRank == null) {
            return false;
        }
        if (ownRank != firstRank) {
            boolean ownIsFirst = PoolView.nextRank(true, true, bulkBelowFloor) == ownRank;
            return !ownIsFirst;
        }
        AccountId remoteAccount = view.remoteAccount(firstRank);
        return fairness.counter(ownRank, account) > fairness.counter(ownRank, remoteAccount);
    }
}
