package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyMessage.PoolState;
import io.siskintrail.internal.policy.PolicyMessage.WaitingWork;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Allocates the slots of a pool once: first to waiting work of all routers, ordered by floors, rank
 * and virtual counters; then the remaining slots to the routers with the fewest idle slots.
 */
final class AllocationRound {
    private final long now;
    private final List<EndpointState> members;
    private final List<RouterSlots> routers;
    private final Map<EndpointId, Integer> freeSlots;
    private final Fairness fairness;
    private final Map<RouterSlots, Map<EndpointId, Integer>> idleSlots = new HashMap<>();
    private final Map<Rank, PriorityQueue<Candidate>> unmetDemand = new EnumMap<>(Rank.class);
    private final Map<Rank, List<Candidate>> unserved = new EnumMap<>(Rank.class);
    private final Map<Rank, List<Candidate>> stillWaiting = new EnumMap<>(Rank.class);
    private final Map<Rank, Map<AccountId, Double>> updatedCounters = new EnumMap<>(Rank.class);
    private int slots;
    private int urgentRunning;
    private int bulkRunning;
    private int slotsBeingFreed;
    private int bulkFloor;
    private int bulkSuspended;
    private final Map<Rank, Integer> shareHeadroom = new EnumMap<>(Rank.class);
    private int unusedSlots;
    private final Map<RouterSlots, Integer> remainingBulkStarts = new HashMap<>();

    AllocationRound(
            long now,
            List<EndpointState> members,
            List<RouterSlots> routers,
            Map<EndpointId, Integer> freeSlots,
            Fairness fairness) {
        this.now = now;
        this.members = members;
        this.routers = routers;
        this.freeSlots = freeSlots;
        this.fairness = fairness;
        for (Rank rank : Rank.values()) {
            unmetDemand.put(rank, new PriorityQueue<>());
            unserved.put(rank, new ArrayList<>());
            stillWaiting.put(rank, new ArrayList<>());
            updatedCounters.put(rank, new HashMap<>());
        }
        countSlots();
        bulkFloor = fairness.floorSlots(Rank.BULK, slots);
        for (Rank rank : Rank.values()) {
            shareHeadroom.put(rank, fairness.shareHeadroom(now, rank, slots));
        }
        collectUnmetDemand();
    }

    /** Grants and reclaims slots, and requests suspensions. */
    void run() {
        shrinkOverfull();
        int urgentFloor = fairness.floorSlots(Rank.URGENT, slots);
        int urgent = urgentRunning;
        int bulkServed = 0;
        while (true) {
            int bulk = bulkRunning + bulkServed - bulkSuspended;
            Rank rank = nextRank(urgent < urgentFloor, bulk < bulkFloor);
            if (rank == null) {
                break;
            }
            Candidate c = pollNext(rank);
            boolean withinBulkLimit = rank == Rank.BULK && remainingBulkStarts.get(c.router) > 0;
            boolean hasRoom = withinBulkLimit || hasRoom(rank, c.work.account(), bulk);
            boolean provided = hasRoom ? provideSlot(c, bulk > bulkFloor) : suspendOverShare(c);
            if (!provided) {
                unserved.get(rank).add(c);
                stillWaiting.get(rank).add(c);
                continue;
            }
            if (withinBulkLimit) {
                remainingBulkStarts.merge(c.router, -1, Integer::sum);
            } else if (hasRoom) {
                unusedSlots--;
            }
            if (rank == Rank.URGENT) {
                urgent++;
            } else if (!withinBulkLimit) {
                bulkServed++;
                c.router.raiseBulkLimit();
            }
            requeue(c);
        }
        if (unserved.get(Rank.URGENT).isEmpty()) {
            grantRemaining();
        }
    }

    /** Reduces the grants on endpoints whose committed slots exceed their capacity. */
    private void shrinkOverfull() {
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            int excess = -freeSlots.getOrDefault(id, 0);
            for (RouterSlots r : routers) {
                excess -= r.committed(id) - r.allocated(id);
            }
            for (RouterSlots r : routers) {
                while (excess > 0 && r.allocated(id) > 0) {
                    r.changeAllocation(id, -1);
                    excess--;
                }
            }
        }
    }

    /** Returns the pool state to send to {@code router}; it names only work of other routers. */
    PoolState poolStateFor(HostId router) {
        return new PoolState(
                slots,
                urgentRunning,
                bulkRunning,
                isOnlyHeadroomLeft(Rank.URGENT),
                isOnlyHeadroomLeft(Rank.BULK),
                nextRemoteAccount(Rank.URGENT, router),
                nextRemoteAccount(Rank.BULK, router));
    }

    private boolean hasRoom(Rank rank, AccountId account, int bulk) {
        if (rank == Rank.BULK && bulk < bulkFloor) {
            return true;
        }
        if (rank == Rank.BULK && unusedSlots <= fairness.urgentHeadroom(urgentRunning)) {
            return false;
        }
        return !isOnlyHeadroomLeft(rank) || !fairness.isOverShare(rank, account, slots);
    }

    /** Returns whether only the headroom is left that accounts over their share leave unused. */
    private boolean isOnlyHeadroomLeft(Rank rank) {
        int availableToRank = unusedSlots;
        if (rank == Rank.URGENT) {
            availableToRank += Math.max(0, bulkRunning - bulkSuspended - bulkFloor);
        }
        return availableToRank <= shareHeadroom.get(rank);
    }

    private AccountId nextRemoteAccount(Rank rank, HostId router) {
        return stillWaiting.get(rank).stream()
                .filter(c -> !c.router.router.equals(router))
                .min(Comparator.naturalOrder())
                .map(c -> c.work.account())
                .orElse(null);
    }

    private void countSlots() {
        for (EndpointState e : members) {
            slots += e.capacity(now);
            unusedSlots += unusedSlots(e);
        }
        for (RouterSlots r : routers) {
            urgentRunning += r.urgentRunning();
            bulkRunning += r.bulkRunning();
            slotsBeingFreed += r.suspending();
            remainingBulkStarts.put(r, r.remainingBulkStarts());
            unusedSlots -= r.remainingBulkStarts();
            Map<EndpointId, Integer> idle = new HashMap<>();
            for (EndpointState e : members) {
                EndpointId id = e.info.id();
                slotsBeingFreed += r.slotsBeingFreed(id);
                if (r.idleSlots(id) > 0) {
                    idle.put(id, r.idleSlots(id));
                }
            }
            idleSlots.put(r, idle);
        }
    }

    private int unusedSlots(EndpointState e) {
        int n = freeSlots.getOrDefault(e.info.id(), 0);
        for (RouterSlots r : routers) {
            n += r.committed(e.info.id()) - r.running(e.info.id());
        }
        return n;
    }

    /** Collects the waiting work that slots already granted to its router do not cover. */
    private void collectUnmetDemand() {
        for (RouterSlots r : routers) {
            for (WaitingWork w : r.waitingWork()) {
                int count = w.count();
                while (count > 0 && coverByUnused(r, w)) {
                    count--;
                }
                if (count > 0) {
                    double counter = fairness.counter(w.rank(), w.account());
                    unmetDemand.get(w.rank()).add(new Candidate(counter, r, w, count));
                }
            }
        }
    }

    private boolean coverByUnused(RouterSlots r, WaitingWork w) {
        if (w.rank() == Rank.BULK) {
            boolean covered = remainingBulkStarts.get(r) > 0 && coverByIdle(r, w);
            remainingBulkStarts.merge(r, covered ? -1 : 0, Integer::sum);
            return covered;
        }
        if (coverByIdle(r, w)) {
            unusedSlots--;
            return true;
        }
        return false;
    }

    private boolean coverByIdle(RouterSlots r, WaitingWork w) {
        Map<EndpointId, Integer> idle = idleSlots.get(r);
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            boolean fits = w.preferredEndpoint() == null || w.preferredEndpoint().equals(id);
            if (fits && idle.getOrDefault(id, 0) > 0 && e.serves(w.target())) {
                idle.merge(id, -1, Integer::sum);
                return true;
            }
        }
        return false;
    }

    private Rank nextRank(boolean urgentBelowFloor, boolean bulkBelowFloor) {
        boolean urgentWaits = !unmetDemand.get(Rank.URGENT).isEmpty();
        boolean bulkWaits = !unmetDemand.get(Rank.BULK).isEmpty();
        if (urgentWaits && urgentBelowFloor) {
            return Rank.URGENT;
        }
        if (bulkWaits && bulkBelowFloor) {
            return Rank.BULK;
        }
        if (urgentWaits) {
            return Rank.URGENT;
        }
        return bulkWaits ? Rank.BULK : null;
    }

    /**
     * Removes and returns the candidate whose account has the least counter, including increments
     * by requests of the account on other routers.
     */
    private Candidate pollNext(Rank rank) {
        PriorityQueue<Candidate> queue = unmetDemand.get(rank);
        while (true) {
            Candidate c = queue.poll();
            double counter = updatedCounters.get(rank).getOrDefault(c.work.account(), c.counter);
            if (counter <= c.counter) {
                return c;
            }
            queue.add(new Candidate(counter, c.router, c.work, c.count));
        }
    }

    private void requeue(Candidate c) {
        Rank rank = c.work.rank();
        double counter = c.counter + fairness.counterIncrement(rank, c.work.account());
        updatedCounters.get(rank).put(c.work.account(), counter);
        if (c.count > 1) {
            unmetDemand.get(rank).add(new Candidate(counter, c.router, c.work, c.count - 1));
        }
    }

    private boolean provideSlot(Candidate c, boolean maySuspend) {
        EndpointState best = bestFree(c.work);
        if (best != null) {
            freeSlots.merge(best.info.id(), -1, Integer::sum);
            c.router.changeAllocation(best.info.id(), 1);
            return true;
        }
        if (usesIdleSlotOfRouter(c)) {
            return true;
        }
        if (slotsBeingFreed > 0) {
            slotsBeingFreed--;
            stillWaiting.get(c.work.rank()).add(c);
            return true;
        }
        if (reclaimIdle(c)) {
            return true;
        }
        if (suspend(c, maySuspend)) {
            stillWaiting.get(c.work.rank()).add(c);
            return true;
        }
        return false;
    }

    private EndpointState bestFree(WaitingWork w) {
        EndpointState best = null;
        int maximum = 0;
        for (EndpointState e : members) {
            int n = freeSlots.getOrDefault(e.info.id(), 0);
            if (n > 0 && e.serves(w.target())) {
                if (e.info.id().equals(w.preferredEndpoint())) {
                    return e;
                }
                if (n > maximum) {
                    maximum = n;
                    best = e;
                }
            }
        }
        return best;
    }

    /** Returns whether bulk work can use a slot that its router holds idle for urgent work. */
    private boolean usesIdleSlotOfRouter(Candidate c) {
        return c.work.rank() == Rank.BULK && coverByIdle(c.router, c.work);
    }

    private boolean reclaimIdle(Candidate c) {
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            boolean fits =
                    c.work.preferredEndpoint() == null || c.work.preferredEndpoint().equals(id);
            if (!fits || !e.serves(c.work.target())) {
                continue;
            }
            for (RouterSlots r : routers) {
                if (r != c.router && idleSlots.get(r).getOrDefault(id, 0) > 0) {
                    idleSlots.get(r).merge(id, -1, Integer::sum);
                    r.changeAllocation(id, -1);
                    return true;
                }
            }
        }
        return false;
    }

    private boolean suspend(Candidate c, boolean bulkAboveFloor) {
        Rank rank = c.work.rank();
        if (rank == Rank.URGENT && bulkAboveFloor && suspend(c, SuspendKind.BULK)) {
            bulkSuspended++;
            return true;
        }
        return suspendOverShare(c);
    }

    /** Requests a suspension from an account far over its share for one that is below its share. */
    private boolean suspendOverShare(Candidate c) {
        Rank rank = c.work.rank();
        if (!fairness.mayDisplace(rank, c.work.account(), slots)) {
            return false;
        }
        SuspendKind kind =
                rank == Rank.URGENT ? SuspendKind.URGENT_OVER_SHARE : SuspendKind.BULK_OVER_SHARE;
        return suspend(c, kind);
    }

    private boolean suspend(Candidate c, SuspendKind kind) {
        RouterSlots mostSuspendable = null;
        int maximum = 0;
        for (RouterSlots r : routers) {
            int possible = r.suspendable(kind);
            if (possible > maximum && runsRequestFor(r, c.work)) {
                maximum = possible;
                mostSuspendable = r;
            }
        }
        if (mostSuspendable == null) {
            return false;
        }
        mostSuspendable.requestSuspension(kind);
        return true;
    }

    private boolean runsRequestFor(RouterSlots r, WaitingWork w) {
        return members.stream().anyMatch(e -> e.serves(w.target()) && r.running(e.info.id()) > 0);
    }

    private void grantRemaining() {
        ArrayDeque<EndpointState> endpointsWithFree = new ArrayDeque<>(members);
        while (!endpointsWithFree.isEmpty() && !routers.isEmpty()) {
            EndpointState e = endpointsWithFree.poll();
            EndpointId id = e.info.id();
            if (freeSlots.getOrDefault(id, 0) <= 0) {
                continue;
            }
            freeSlots.merge(id, -1, Integer::sum);
            RouterSlots r = leastIdle(id);
            idleSlots.get(r).merge(id, 1, Integer::sum);
            r.changeAllocation(id, 1);
            endpointsWithFree.add(e);
        }
    }

    private RouterSlots leastIdle(EndpointId id) {
        return routers.stream()
                .min(
                        Comparator.<RouterSlots>comparingInt(
                                        r ->
                                                idleSlots.get(r).values().stream()
                                                        .mapToInt(n -> n)
                                                        .sum())
                                .thenComparingInt(r -> idleSlots.get(r).getOrDefault(id, 0))
                                .thenComparing(r -> r.router))
                .orElseThrow();
    }

    private record Candidate(double counter, RouterSlots router, WaitingWork work, int count)
            implements Comparable<Candidate> {
        @Override
        public int compareTo(Candidate other) {
            int byCounter = Double.compare(counter, other.counter);
            return byCounter != 0 ? byCounter : router.router.compareTo(other.router.router);
        }
    }
}
