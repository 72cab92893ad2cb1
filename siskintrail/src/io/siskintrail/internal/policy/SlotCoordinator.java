package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyMessage.Claim;
import io.siskintrail.internal.policy.PolicyMessage.Grant;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Allocates the slots of one pool to the routers by leases that follow their demand. Runs on the
 * router selected by rendezvous hashing. A new coordinator takes over the slots that the routers
 * hold and grants no others until every live router has sent a claim or the previous leases have
 * expired.
 */
final class SlotCoordinator {
    static final int LEASE_MILLIS = 1_000;
    private static final long RENEW_INTERVAL_MILLIS = 150;
    private static final long RESEND_INTERVAL_MILLIS = 15;
    static final long REPORT_LAG_MILLIS = 1_000;
    private static final long ORPHAN_CHECK_AFTER_LOSS_MILLIS = 3_000;
    private static final long ORPHAN_CHECK_AFTER_EXCESS_MILLIS = 2_000;
    private static final long LOST_ROUTER_TTL_MILLIS = 10_000;

    private final String pool;
    private final long startedAtMillis;
    private final Map<HostId, RouterSlots> routers = new TreeMap<>();
    private final Map<HostId, LostRouter> lostRouters = new TreeMap<>();
    private final Map<EndpointId, RunningWindow> runningWindows = new HashMap<>();
    private final Map<EndpointId, Long> orphanCheckUntilByEndpoint = new HashMap<>();
    private final boolean afterRouterLoss;
    private long orphanCheckUntilMillis;
    private long sequence;

    /**
     * Creates the coordinator of a pool.
     *
     * @param afterRouterLoss whether a router was lost recently, so that leases of unknown size may
     *     still be valid
     */
    SlotCoordinator(String pool, long now, long firstSequence, boolean afterRouterLoss) {
        this.afterRouterLoss = afterRouterLoss;
        this.orphanCheckUntilMillis = afterRouterLoss ? now + ORPHAN_CHECK_AFTER_LOSS_MILLIS : now;
        this.pool = pool;
        this.startedAtMillis = now;
        this.sequence = firstSequence;
    }

    /** Applies a claim of a router; returns false when the claim is out of date. */
    boolean applyClaim(long now, HostId from, Claim claim) {
        lostRouters.remove(from);
        return routers.computeIfAbsent(from, RouterSlots::new).apply(now, claim);
    }

    /**
     * Runs one allocation of the slots.
     *
     * @param members endpoints of the pool
     * @param live live routers, which must all have claimed before a new coordinator grants
     * @param fairness order of accounts, shares and floors
     * @return the grants to send, by receiver
     */
    Map<HostId, Grant> allocate(
            long now, List<EndpointState> members, Set<HostId> live, Fairness fairness) {
        routers.values().removeIf(r -> removeIfClaimExpired(now, r));
        lostRouters.values().removeIf(l -> now - l.lostAtMillis > LOST_ROUTER_TTL_MILLIS);
        Map<EndpointId, Integer> freeSlots = freeSlots(now, members);
        AllocationRound round =
                new AllocationRound(
                        now, members, List.copyOf(routers.values()), freeSlots, fairness);
        if (mayGrant(now, live)) {
            round.run();
        }
        Map<HostId, Grant> grants = new LinkedHashMap<>();
        for (RouterSlots r : routers.values()) {
            PolicyMessage.PoolState state = round.poolStateFor(r.router);
            if (r.needsGrant(now, state, RENEW_INTERVAL_MILLIS, RESEND_INTERVAL_MILLIS)) {
                sequence++;
                grants.put(r.router, r.nextGrant(now, pool, sequence, LEASE_MILLIS, state));
            }
        }
        return grants;
    }

    private boolean mayGrant(long now, Set<HostId> live) {
        boolean previousLeasesExpired = now - startedAtMillis > LEASE_MILLIS;
        return previousLeasesExpired || !afterRouterLoss && routers.keySet().containsAll(live);
    }

    private boolean removeIfClaimExpired(long now, RouterSlots r) {
        if (!r.isClaimExpired(now, LEASE_MILLIS)) {
            return false;
        }
        orphanCheckUntilMillis =
                Math.max(orphanCheckUntilMillis, now + ORPHAN_CHECK_AFTER_LOSS_MILLIS);
        Map<EndpointId, Integer> held = new HashMap<>();
        r.endpoints().forEach(id -> held.put(id, r.committed(id)));
        lostRouters.put(r.router, new LostRouter(now, held));
        return true;
    }

    private Map<EndpointId, Integer> freeSlots(long now, List<EndpointState> members) {
        Map<EndpointId, Integer> freeSlots = new TreeMap<>();
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            int used = 0;
            int running = 0;
            for (RouterSlots r : routers.values()) {
                used += r.committed(id);
                running += r.running(id);
            }
            freeSlots.put(id, e.capacity(now) - used - orphanedSlots(now, e, running));
        }
        return freeSlots;
    }

    /**
     * Returns the slots that requests of lost or unknown routers still hold. The last load report
     * shows the requests on the endpoint at some moment in the last second. A report above the most
     * requests that known routers ran in that second shows that such requests exist; the difference
     * to the fewest requests that known routers ran bounds their number.
     */
    private int orphanedSlots(long now, EndpointState e, int running) {
        EndpointId id = e.info.id();
        RunningWindow window = runningWindows.computeIfAbsent(id, i -> new RunningWindow());
        window.add(now, running);
        int reported = e.reportedLoad(now);
        if (reported > window.max()) {
            orphanCheckUntilByEndpoint.put(id, now + ORPHAN_CHECK_AFTER_EXCESS_MILLIS);
        }
        int heldByLostRouters = 0;
        for (LostRouter l : lostRouters.values()) {
            boolean reportedSince = e.reportedAtMillis() > l.lostAtMillis + REPORT_LAG_MILLIS;
            heldByLostRouters += reportedSince ? 0 : l.held.getOrDefault(id, 0);
        }
        if (heldByLostRouters > 0) {
            return heldByLostRouters;
        }
        if (now
                >= Math.max(
                        orphanCheckUntilMillis, orphanCheckUntilByEndpoint.getOrDefault(id, 0L))) {
            return 0;
        }
        return Math.max(0, reported - window.min());
    }

    private record LostRouter(long lostAtMillis, Map<EndpointId, Integer> held) {}
}
