package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyMessage.Claim;
import io.siskintrail.internal.policy.PolicyMessage.Grant;
import io.siskintrail.internal.policy.PolicyMessage.HeldSlots;
import io.siskintrail.internal.policy.PolicyMessage.PoolState;
import io.siskintrail.internal.policy.PolicyMessage.WaitingWork;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Holds this router's slot leases and coordinates the pools that fall to this router. */
final class LeaseManager {
    private static final long HEARTBEAT_MILLIS = 200;
    private static final long CLAIM_GAP_MILLIS = 2;
    private static final long ROUND_GAP_MILLIS = 2;
    private static final long ROUND_MILLIS = 50;
    private static final int MAX_CLAIMED_ACCOUNTS = 16;

    private final HostId self;
    private final long firstSequence;
    private final EndpointTable endpoints;
    private final WorkQueues queues;
    private final Fairness fairness;
    private final Map<String, PoolLease> leases = new TreeMap<>();
    private final Map<String, Coordinated> coordinated = new TreeMap<>();
    private Set<HostId> routers = new TreeSet<>();
    private boolean quorate;
    private long lostAt = Long.MIN_VALUE / 2;
    private Suspensions suspendAsked = Suspensions.NONE;

    LeaseManager(
            HostId self,
            long firstSequence,
            EndpointTable endpoints,
            WorkQueues queues,
            Fairness fairness) {
        this.self = self;
        this.firstSequence = firstSequence;
        this.endpoints = endpoints;
        this.queues = queues;
        this.fairness = fairness;
    }

    void peers(long now, Set<HostId> live, boolean nowQuorate) {
        if (!live.containsAll(routers)) {
            lostAt = now;
        }
        routers = new TreeSet<>(live);
        quorate = nowQuorate;
    }

    /** Returns how many more requests this router may start on {@code e} now. */
    int usable(long now, EndpointState e) {
        PoolLease lease = leases.get(e.pool);
        if (lease == null) {
            return 0;
        }
        return Math.min(lease.granted(now, e.info.id()), e.capacity(now)) - e.running();
    }

    /** Returns how many more bulk generations this router may start in the pool of {@code e}. */
    int usableBulk(long now, EndpointState e) {
        PoolLease lease = leases.get(e.pool);
        return lease == null ? 0 : lease.bulkLimit(now) - ownBulk(e.pool);
    }

    /** Returns whether the next start on {@code e} uses a slot granted for waiting work. */
    boolean isFresh(EndpointState e) {
        return leases.get(e.pool).isFresh();
    }

    /** Notes a start on {@code e}. */
    void used(EndpointState e) {
        leases.get(e.pool).used();
    }

    /** Notes that a bulk generation on {@code e} is suspended. */
    void suspended(EndpointState e) {
        PoolLease lease = leases.get(e.pool);
        if (lease != null) {
            lease.lowerBulkLimit();
        }
    }

    /** Gives a free slot of {@code e} back for a request that waits on another router. */
    void giveBack(EndpointState e, Rank rank) {
        PoolLease lease = leases.get(e.pool);
        lease.giveBack(e.info.id());
        lease.clearRivals();
        if (rank == Rank.BULK) {
            lease.lowerBulkLimit();
        }
    }

    /** Notes that what this router holds or wants of the pools of {@code target} has changed. */
    void changed(Target target) {
        for (String pool : pools(target)) {
            lease(pool).markDirty();
        }
    }

    /** Returns how the pools of {@code target} stand together. */
    PoolView view(Target target) {
        int slots = 0;
        int bulk = 0;
        boolean urgentTight = false;
        boolean bulkTight = false;
        AccountId urgentRival = null;
        AccountId bulkRival = null;
        for (String pool : pools(target)) {
            PoolLease lease = lease(pool);
            PoolState s = lease.state();
            slots += s.slots();
            bulk += lease.bulkRunning(ownBulk(pool));
            urgentTight |= s.urgentTight();
            bulkTight |= s.bulkTight();
            urgentRival = urgentRival == null ? s.urgentWaiting() : urgentRival;
            bulkRival = bulkRival == null ? s.bulkWaiting() : bulkRival;
        }
        return new PoolView(slots, bulk, urgentTight, bulkTight, urgentRival, bulkRival);
    }

    /** Returns the slots of the largest pool that this router uses. */
    int slots() {
        return leases.values().stream().mapToInt(l -> l.state().slots()).max().orElse(0);
    }

    /** Returns and clears how many generations the coordinators want suspended. */
    Suspensions takeSuspendAsked() {
        Suspensions n = suspendAsked;
        suspendAsked = Suspensions.NONE;
        return n;
    }

    void receive(long now, HostId from, Claim claim) {
        Coordinated c = coordinated.get(claim.pool());
        if (c != null && c.slots.claim(now, from, claim)) {
            c.dirty = true;
        }
    }

    void receive(HostId from, Grant grant) {
        PoolLease lease = leases.get(grant.pool());
        if (lease != null && lease.apply(from, grant, ownBulk(grant.pool()))) {
            suspendAsked = suspendAsked.plus(grant.suspend());
        }
    }

    /** Follows changes of endpoints and routers. */
    void refresh(long now) {
        Set<String> wanted = new TreeSet<>(endpoints.ownPools());
        for (Target target : queues.targets()) {
            wanted.addAll(pools(target));
        }
        wanted.forEach(this::lease);
        leases.keySet().removeIf(p -> endpoints.pool(p).isEmpty());
        for (PoolLease lease : leases.values()) {
            lease.follow(coordinatorOf(lease.pool));
        }
        coordinated.keySet().removeIf(p -> !coordinatorOf(p).equals(self));
        for (String pool : endpoints.pools()) {
            if (coordinatorOf(pool).equals(self)) {
                coordinated.computeIfAbsent(pool, p -> new Coordinated(coordinator(now, p)));
            }
        }
        coordinated.keySet().retainAll(endpoints.pools());
    }

    /**
     * Sends the claims and grants that are due.
     *
     * @param starter knows what is being suspended and what could be
     * @return whether a grant for this router itself was applied
     */
    boolean flush(long now, Starter starter, List<PolicyEffect> out) {
        for (PoolLease lease : leases.values()) {
            long gap = self.equals(lease.coordinator()) ? 0 : CLAIM_GAP_MILLIS;
            boolean due = lease.isDirty() && now - lease.claimedAt() >= gap;
            if (due || now - lease.claimedAt() >= HEARTBEAT_MILLIS) {
                send(now, lease, starter, out);
            }
        }
        boolean applied = false;
        for (Map.Entry<String, Coordinated> c : coordinated.entrySet()) {
            applied |= round(now, c.getKey(), c.getValue(), out);
        }
        return applied;
    }

    private SlotCoordinator coordinator(long now, String pool) {
        boolean afterLoss = now - lostAt <= SlotCoordinator.LEASE_MILLIS;
        return new SlotCoordinator(pool, now, firstSequence, afterLoss);
    }

    private boolean round(long now, String pool, Coordinated c, List<PolicyEffect> out) {
        long age = now - c.roundAt;
        boolean due = c.dirty && age >= ROUND_GAP_MILLIS || age >= ROUND_MILLIS;
        if (!due || !quorate) {
            return false;
        }
        c.dirty = false;
        c.roundAt = now;
        boolean applied = false;
        Map<HostId, Grant> grants = c.slots.allocate(now, endpoints.pool(pool), routers, fairness);
        for (Map.Entry<HostId, Grant> g : grants.entrySet()) {
            if (g.getKey().equals(self)) {
                receive(self, g.getValue());
                applied = true;
            } else {
                out.add(new PolicyEffect.Send(g.getKey(), g.getValue()));
            }
        }
        return applied;
    }

    private void send(long now, PoolLease lease, Starter starter, List<PolicyEffect> out) {
        long appliedGrant = lease.appliedGrant();
        Claim claim =
                new Claim(
                        lease.pool,
                        lease.nextClaim(now),
                        appliedGrant,
                        lease.bulkLimit(now),
                        starter.suspendable(now, lease.pool, lease.state().slots()),
                        starter.suspending(lease.pool),
                        held(now, lease),
                        waits(lease.pool));
        if (self.equals(lease.coordinator())) {
            receive(now, self, claim);
        } else {
            out.add(new PolicyEffect.Send(lease.coordinator(), claim));
        }
    }

    private List<HeldSlots> held(long now, PoolLease lease) {
        List<HeldSlots> held = new ArrayList<>();
        for (EndpointState e : endpoints.pool(lease.pool)) {
            int granted = lease.granted(now, e.info.id());
            if (granted > 0 || e.running() > 0) {
                held.add(new HeldSlots(e.info.id(), granted, e.urgent(), e.bulk()));
            }
        }
        return held;
    }

    private List<WaitingWork> waits(String pool) {
        List<WaitingWork> waits = new ArrayList<>();
        for (Target target : queues.targets()) {
            if (pools(target).contains(pool)) {
                addWaits(queues.get(target, Rank.URGENT), waits);
                addWaits(queues.get(target, Rank.BULK), waits);
            }
        }
        return waits;
    }

    private static void addWaits(FairQueue queue, List<WaitingWork> waits) {
        if (queue == null) {
            return;
        }
        for (Work head : queue.heads(MAX_CLAIMED_ACCOUNTS)) {
            WorkRequest r = head.request;
            int count = queue.size(r.account());
            waits.add(new WaitingWork(r.rank(), r.account(), r.target(), count, head.preferred));
        }
    }

    private int ownBulk(String pool) {
        return endpoints.pool(pool).stream().mapToInt(EndpointState::bulk).sum();
    }

    private List<String> pools(Target target) {
        return endpoints.serving(target).stream().map(e -> e.pool).distinct().toList();
    }

    private PoolLease lease(String pool) {
        PoolLease lease = leases.get(pool);
        if (lease == null) {
            lease = new PoolLease(pool, firstSequence);
            lease.follow(coordinatorOf(pool));
            leases.put(pool, lease);
        }
        return lease;
    }

    private HostId coordinatorOf(String pool) {
        HostId best = self;
        long most = Long.MIN_VALUE;
        for (HostId h : routers) {
            long score = EndpointTable.hash(pool + "|" + h);
            if (score > most) {
                most = score;
                best = h;
            }
        }
        return best;
    }

    private static final class Coordinated {
        private final SlotCoordinator slots;
        private boolean dirty = true;
        private long roundAt = Long.MIN_VALUE / 2;

        private Coordinated(SlotCoordinator slots) {
            this.slots = slots;
        }
    }
}
