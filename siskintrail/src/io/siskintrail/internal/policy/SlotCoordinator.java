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
 * Splits the slots of one pool among the routers, with leases that follow their demand. Runs on the
 * router that rendezvous hashing names; a new coordinator takes over what the routers hold and
 * grants nothing else until every live router has claimed or the former leases have run out.
 */
final class SlotCoordinator {
    static final int LEASE_MILLIS = 1_000;
    private static final long RENEW_MILLIS = 150;
    private static final long RESEND_MILLIS = 15;
    static final long REPORT_LAG_MILLIS = 1_000;
    private static final long SUSPECT_MILLIS = 3_000;
    private static final long CALM_MILLIS = 2_000;
    private static final long LOST_TTL_MILLIS = 10_000;

    private final String pool;
    private final long startedAt;
    private final Map<HostId, RouterSlots> routers = new TreeMap<>();
    private final Map<HostId, Lost> lost = new TreeMap<>();
    private final Map<EndpointId, RunningWindow> windows = new HashMap<>();
    private final Map<EndpointId, Long> suspects = new HashMap<>();
    private final boolean afterLoss;
    private long suspectUntil;
    private long sequence;

    /**
     * Takes a pool over.
     *
     * @param afterLoss whether a router was lost lately, so that leases of an unknown size may
     *     still run
     */
    SlotCoordinator(String pool, long now, long firstSequence, boolean afterLoss) {
        this.afterLoss = afterLoss;
        this.suspectUntil = afterLoss ? now + SUSPECT_MILLIS : now;
        this.pool = pool;
        this.startedAt = now;
        this.sequence = firstSequence;
    }

    /** Takes in what a router holds and wants; returns false when the claim is out of date. */
    boolean claim(long now, HostId from, Claim claim) {
        lost.remove(from);
        return routers.computeIfAbsent(from, RouterSlots::new).apply(now, claim);
    }

    /**
     * Splits the slots anew.
     *
     * @param members the endpoints of the pool
     * @param live the live routers
     * @param fairness order among accounts, and the floors
     * @return the grants to be sent
     */
    Map<HostId, Grant> allocate(
            long now, List<EndpointState> members, Set<HostId> live, Fairness fairness) {
        routers.values().removeIf(r -> expire(now, r));
        lost.values().removeIf(l -> now - l.at > LOST_TTL_MILLIS);
        Map<EndpointId, Integer> free = free(now, members);
        AllocationRound round =
                new AllocationRound(now, members, List.copyOf(routers.values()), free, fairness);
        if (mayGrant(now, live)) {
            round.run();
        }
        Map<HostId, Grant> out = new LinkedHashMap<>();
        for (RouterSlots r : routers.values()) {
            PolicyMessage.PoolState state = round.stateFor(r.router);
            if (r.needsGrant(now, state, RENEW_MILLIS, RESEND_MILLIS)) {
                sequence++;
                out.put(r.router, r.send(now, pool, sequence, LEASE_MILLIS, state));
            }
        }
        return out;
    }

    private boolean mayGrant(long now, Set<HostId> live) {
        boolean leasesOver = now - startedAt > LEASE_MILLIS;
        return leasesOver || !afterLoss && routers.keySet().containsAll(live);
    }

    private boolean expire(long now, RouterSlots r) {
        if (!r.isSilent(now, LEASE_MILLIS)) {
            return false;
        }
        suspectUntil = Math.max(suspectUntil, now + SUSPECT_MILLIS);
        Map<EndpointId, Integer> held = new HashMap<>();
        r.endpoints().forEach(id -> held.put(id, r.committed(id)));
        lost.put(r.router, new Lost(now, held));
        return true;
    }

    private Map<EndpointId, Integer> free(long now, List<EndpointState> members) {
        Map<EndpointId, Integer> free = new TreeMap<>();
        for (EndpointState e : members) {
            EndpointId id = e.info.id();
            int used = 0;
            int running = 0;
            for (RouterSlots r : routers.values()) {
                used += r.committed(id);
                running += r.running(id);
            }
            free.put(id, e.capacity(now) - used - orphans(now, e, running));
        }
        return free;
    }

    /**
     * Returns the slots that requests of lost or unknown routers still hold. The last load report
     * shows the running requests of some moment in the last second; what the known routers ran at
     * most in that time cannot explain it when there are such requests, and what they ran at least
     * bounds their number.
     */
    private int orphans(long now, EndpointState e, int running) {
        EndpointId id = e.info.id();
        RunningWindow window = windows.computeIfAbsent(id, i -> new RunningWindow());
        window.add(now, running);
        int reported = e.reported(now);
        if (reported > window.most()) {
            suspects.put(id, now + CALM_MILLIS);
        }
        int unreported = 0;
        for (Lost l : lost.values()) {
            boolean reportedSince = e.reportedAt() > l.at + REPORT_LAG_MILLIS;
            unreported += reportedSince ? 0 : l.held.getOrDefault(id, 0);
        }
        if (unreported > 0) {
            return unreported;
        }
        if (now >= Math.max(suspectUntil, suspects.getOrDefault(id, 0L))) {
            return 0;
        }
        return Math.max(0, reported - window.least());
    }

    private record Lost(long at, Map<EndpointId, Integer> held) {}
}
