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
 * One allocation of the slots of a pool: first to waiting work, in the order of floors, rank and
 * virtual counters over all routers, then what is left to the routers with the least idle slots.
 */
final class AllocationRound {
    private final long now;
    private final List<EndpointState> members;
    private final List<RouterSlots> routers;
    private final Map<EndpointId, Integer> free;
    private final Fairness fairness;
    private final Map<RouterSlots, Map<EndpointId, Integer>> spare = new HashMap<>();
    private final Map<Rank, PriorityQueue<Candidate>> unmet = new EnumMap<>(Rank.class);
    private final Map<Rank, List<Candidate>> left = new EnumMap<>(Rank.class);
    private final Map<Rank, List<Candidate>> rivals = new EnumMap<>(Rank.class);
    private final Map<Rank, Map<AccountId, Double>> keys = new EnumMap<>(Rank.class);
    private int slots;
    private int urgentRunning;
    private int bulkRunning;
    private int pending;
    private int bulkFloor;
    private int bulkSuspended;
    private final Map<Rank, Integer> headroom = new EnumMap<>(Rank.class);
    private int unused;
    private final Map<RouterSlots, Integer> unusedBulk = new HashMap<>();

    AllocationRound(
            long now,
            List<EndpointState> members,
            List<RouterSlots> routers,
            Map<EndpointId, Integer> free,
            Fairness fairness) {
        this.now = now;
        this.members = members;
        this.routers = routers;
        this.free = free;
        this.fairness = fairness;
        for (Rank rank : Rank.values()) {
            unmet.put(rank, new PriorityQueue<>());
            left.put(rank, new ArrayList<>());
            rivals.put(rank, new ArrayList<>());
            keys.put(rank, new HashMap<>());
        }
        count();
        bulkFloor = fairness.floorSlots(Rank.BULK, slots);
        for (Rank rank : Rank.values()) {
            headroom.put(rank, fairness.shareHeadroom(now, rank, slots));
        }
        collect();
    }

    /** Grants, reclaims and asks for suspensions. */
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
            Candidate c = next(rank);
            boolean allowed = rank == Rank.BULK && unusedBulk.get(c.router) > 0;
            boolean room = allowed || hasRoom(rank, c.work.account(), bulk);
            boolean served = room ? serve(c, bulk > bulkFloor) : displace(c);
            if (!served) {
                left.get(rank).add(c);
                rivals.get(rank).add(c);
                continue;
            }
            if (allowed) {
                unusedBulk.merge(c.router, -1, Integer::sum);
            } else if (room) {
                unused--;
            }
            if (rank == Rank.URGENT) {
                urgent++;
            } else if (!allowed) {
                bulkServed++;
                c.router.allowBulk();
            }
            putBack(c);
        }
        if (left.get(Rank.URGENT).isEmpty()) {
            spread();
        }
    }

    /** Takes leases back on endpoints that run more than they have slots for. */
    private void shrinkOverfull() {
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            int over = -free.getOrDefault(id, 0);
            for (RouterSlots r : routers) {
                over -= r.committed(id) - r.granted(id);
            }
            for (RouterSlots r : routers) {
                while (over > 0 && r.granted(id) > 0) {
                    r.grant(id, -1);
                    over--;
                }
            }
        }
    }

    /** Returns the state of the pool as {@code router} is to see it. */
    PoolState stateFor(HostId router) {
        return new PoolState(
                slots,
                urgentRunning,
                bulkRunning,
                isTight(Rank.URGENT),
                isTight(Rank.BULK),
                rival(Rank.URGENT, router),
                rival(Rank.BULK, router));
    }

    private boolean hasRoom(Rank rank, AccountId account, int bulk) {
        if (rank == Rank.BULK && bulk < bulkFloor) {
            return true;
        }
        if (rank == Rank.BULK && unused <= fairness.headroom(urgentRunning)) {
            return false;
        }
        return !isTight(rank) || !fairness.isOverShare(rank, account, slots);
    }

    /** Returns whether only the slots are left that accounts over their share leave to others. */
    private boolean isTight(Rank rank) {
        int forRank = unused;
        if (rank == Rank.URGENT) {
            forRank += Math.max(0, bulkRunning - bulkSuspended - bulkFloor);
        }
        return forRank <= headroom.get(rank);
    }

    private AccountId rival(Rank rank, HostId router) {
        return rivals.get(rank).stream()
                .filter(c -> !c.router.router.equals(router))
                .min(Comparator.naturalOrder())
                .map(c -> c.work.account())
                .orElse(null);
    }

    private void count() {
        for (EndpointState e : members) {
            slots += e.capacity(now);
            unused += unused(e);
        }
        for (RouterSlots r : routers) {
            urgentRunning += r.urgent();
            bulkRunning += r.bulk();
            pending += r.suspending();
            unusedBulk.put(r, r.unusedBulk());
            unused -= r.unusedBulk();
            Map<EndpointId, Integer> idle = new HashMap<>();
            for (EndpointState e : members) {
                EndpointId id = e.info.id();
                pending += r.pending(id);
                if (r.idle(id) > 0) {
                    idle.put(id, r.idle(id));
                }
            }
            spare.put(r, idle);
        }
    }

    private int unused(EndpointState e) {
        int n = free.getOrDefault(e.info.id(), 0);
        for (RouterSlots r : routers) {
            n += r.committed(e.info.id()) - r.running(e.info.id());
        }
        return n;
    }

    /** Lists the waiting work that the slots on their way to its router do not cover. */
    private void collect() {
        for (RouterSlots r : routers) {
            for (WaitingWork w : r.waits()) {
                int count = w.count();
                while (count > 0 && cover(r, w)) {
                    count--;
                }
                if (count > 0) {
                    double key = fairness.counter(w.rank(), w.account());
                    unmet.get(w.rank()).add(new Candidate(key, r, w, count));
                }
            }
        }
    }

    private boolean cover(RouterSlots r, WaitingWork w) {
        if (w.rank() == Rank.BULK) {
            boolean covered = unusedBulk.get(r) > 0 && coverByIdle(r, w);
            unusedBulk.merge(r, covered ? -1 : 0, Integer::sum);
            return covered;
        }
        if (coverByIdle(r, w)) {
            unused--;
            return true;
        }
        return false;
    }

    private boolean coverByIdle(RouterSlots r, WaitingWork w) {
        Map<EndpointId, Integer> idle = spare.get(r);
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            boolean fits = w.preferred() == null || w.preferred().equals(id);
            if (fits && idle.getOrDefault(id, 0) > 0 && e.serves(w.target())) {
                idle.merge(id, -1, Integer::sum);
                return true;
            }
        }
        return false;
    }

    private Rank nextRank(boolean urgentBelowFloor, boolean bulkBelowFloor) {
        boolean urgentWaits = !unmet.get(Rank.URGENT).isEmpty();
        boolean bulkWaits = !unmet.get(Rank.BULK).isEmpty();
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

    /** Takes the candidate whose account is next, requests of the account elsewhere included. */
    private Candidate next(Rank rank) {
        PriorityQueue<Candidate> queue = unmet.get(rank);
        while (true) {
            Candidate c = queue.poll();
            double key = keys.get(rank).getOrDefault(c.work.account(), c.key);
            if (key <= c.key) {
                return c;
            }
            queue.add(new Candidate(key, c.router, c.work, c.count));
        }
    }

    private void putBack(Candidate c) {
        Rank rank = c.work.rank();
        double key = c.key + fairness.step(rank, c.work.account());
        keys.get(rank).put(c.work.account(), key);
        if (c.count > 1) {
            unmet.get(rank).add(new Candidate(key, c.router, c.work, c.count - 1));
        }
    }

    private boolean serve(Candidate c, boolean maySuspend) {
        EndpointState best = bestFree(c.work);
        if (best != null) {
            free.merge(best.info.id(), -1, Integer::sum);
            c.router.grant(best.info.id(), 1);
            return true;
        }
        if (usesOwnIdle(c)) {
            return true;
        }
        if (pending > 0) {
            pending--;
            rivals.get(c.work.rank()).add(c);
            return true;
        }
        if (reclaim(c)) {
            return true;
        }
        if (suspend(c, maySuspend)) {
            rivals.get(c.work.rank()).add(c);
            return true;
        }
        return false;
    }

    private EndpointState bestFree(WaitingWork w) {
        EndpointState best = null;
        int most = 0;
        for (EndpointState e : members) {
            int n = free.getOrDefault(e.info.id(), 0);
            if (n > 0 && e.serves(w.target())) {
                if (e.info.id().equals(w.preferred())) {
                    return e;
                }
                if (n > most) {
                    most = n;
                    best = e;
                }
            }
        }
        return best;
    }

    /** Lets bulk work use a slot that its router holds for urgent work. */
    private boolean usesOwnIdle(Candidate c) {
        return c.work.rank() == Rank.BULK && coverByIdle(c.router, c.work);
    }

    private boolean reclaim(Candidate c) {
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            boolean fits = c.work.preferred() == null || c.work.preferred().equals(id);
            if (!fits || !e.serves(c.work.target())) {
                continue;
            }
            for (RouterSlots r : routers) {
                if (r != c.router && spare.get(r).getOrDefault(id, 0) > 0) {
                    spare.get(r).merge(id, -1, Integer::sum);
                    r.grant(id, -1);
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
        return displace(c);
    }

    /** Makes an account far over its share give way to one that is below its own. */
    private boolean displace(Candidate c) {
        Rank rank = c.work.rank();
        if (!fairness.mayDisplace(rank, c.work.account(), slots)) {
            return false;
        }
        SuspendKind kind =
                rank == Rank.URGENT ? SuspendKind.URGENT_OVER_SHARE : SuspendKind.BULK_OVER_SHARE;
        return suspend(c, kind);
    }

    private boolean suspend(Candidate c, SuspendKind kind) {
        RouterSlots victim = null;
        int most = 0;
        for (RouterSlots r : routers) {
            int possible = r.suspendable(kind);
            if (possible > most && runsFor(r, c.work)) {
                most = possible;
                victim = r;
            }
        }
        if (victim == null) {
            return false;
        }
        victim.askToSuspend(kind);
        return true;
    }

    private boolean runsFor(RouterSlots r, WaitingWork w) {
        return members.stream().anyMatch(e -> e.serves(w.target()) && r.running(e.info.id()) > 0);
    }

    private void spread() {
        ArrayDeque<EndpointState> open = new ArrayDeque<>(members);
        while (!open.isEmpty() && !routers.isEmpty()) {
            EndpointState e = open.poll();
            EndpointId id = e.info.id();
            if (free.getOrDefault(id, 0) <= 0) {
                continue;
            }
            free.merge(id, -1, Integer::sum);
            RouterSlots r = leastIdle(id);
            spare.get(r).merge(id, 1, Integer::sum);
            r.grant(id, 1);
            open.add(e);
        }
    }

    private RouterSlots leastIdle(EndpointId id) {
        return routers.stream()
                .min(
                        Comparator.<RouterSlots>comparingInt(
                                        r -> spare.get(r).values().stream().mapToInt(n -> n).sum())
                                .thenComparingInt(r -> spare.get(r).getOrDefault(id, 0))
                                .thenComparing(r -> r.router))
                .orElseThrow();
    }

    private record Candidate(double key, RouterSlots router, WaitingWork work, int count)
            implements Comparable<Candidate> {
        @Override
        public int compareTo(Candidate other) {
            int byKey = Double.compare(key, other.key);
            return byKey != 0 ? byKey : router.router.compareTo(other.router.router);
        }
    }
}
