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

/** Holds the slot leases of this router and coordinates the pools assigned to this router. */
final class LeaseManager {
    private static final long CLAIM_HEARTBEAT_MILLIS = 200;
    private static final long MIN_CLAIM_INTERVAL_MILLIS = 2;
    private static final long MIN_ALLOCATION_INTERVAL_MILLIS = 2;
    private static final long MAX_ALLOCATION_INTERVAL_MILLIS = 50;
    private static final int MAX_CLAIMED_ACCOUNTS = 16;

    private final HostId self;
    private final long firstSequence;
    private final EndpointTable endpoints;
    private final WorkQueues queues;
    private final Fairness fairness;
    private final Map<String, PoolLease> leases = new TreeMap<>();
    private final Map<String, CoordinatedPool> coordinatedPools = new TreeMap<>();
    private Set<HostId> routers = new TreeSet<>();
    private boolean hasQuorum;
    private long routerLostAtMillis = Long.MIN_VALUE / 2;
    private SuspensionCounts requestedSuspensions = SuspensionCounts.NONE;

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

    void updateRouters(long now, Set<HostId> live, boolean nowHasQuorum) {
        if (!live.containsAll(routers)) {
            routerLostAtMillis = now;
        }
        routers = new TreeSet<>(live);
        hasQuorum = nowHasQuorum;
    }

    /** Returns how many more requests this router may start on {@code e} now; 0 without a lease. */
    int usableSlots(long now, EndpointState e) {
        PoolLease lease = leases.get(e.pool);
        if (lease == null) {
            return 0;
        }
        return Math.min(lease.grantedSlots(now, e.info.id()), e.capacity(now)) - e.running();
    }

    /** Returns how many more bulk generations this router may start in the pool of {@code e}. */
    int usableBulk(long now, EndpointState e) {
        PoolLease lease = leases.get(e.pool);
        return lease == null ? 0 : lease.bulkLimit(now) - ownBulk(e.pool);
    }

    /**
     * Returns whether the lease that covers {@code e} has unused slots granted for waiting work.
     */
    boolean hasSlotForWaitingWork(EndpointState e) {
        return leases.get(e.pool).hasSlotForWaitingWork();
    }

    /** Records a start on {@code e}. */
    void recordStart(EndpointState e) {
        leases.get(e.pool).recordStart();
    }

    /** Records that a bulk generation on {@code e} was suspended, which lowers the bulk limit. */
    void recordSuspension(EndpointState e) {
        PoolLease lease = leases.get(e.pool);
        if (lease != null) {
            lease.lowerBulkLimit();
        }
    }

    /**
     * Returns a free slot of {@code e} to the coordinator for work that waits on another router.
     */
    void giveBack(EndpointState e, Rank rank) {
        PoolLease lease = leases.get(e.pool);
        lease.giveBack(e.info.id());
        lease.clearRemoteWaiting();
        if (rank == Rank.BULK) {
            lease.lowerBulkLimit();
        }
    }

    /**
     * Marks that the slots in use or the demand of this router in {@code target}'s pools changed.
     */
    void markChanged(Target target) {
        for (String pool : poolsServing(target)) {
            lease(pool).markDirty();
        }
    }

    /** Returns the combined state of the pools that serve {@code target}. */
    PoolView view(Target target) {
        int slots = 0;
        int bulk = 0;
        boolean urgentOnlyHeadroomLeft = false;
        boolean bulkOnlyHeadroomLeft = false;
        AccountId remoteUrgentAccount = null;
        AccountId remoteBulkAccount = null;
        for (String pool : poolsServing(target)) {
            PoolLease lease = lease(pool);
            PoolState s = lease.state();
            slots += s.slots();
            bulk += lease.bulkRunning(ownBulk(pool));
            urgentOnlyHeadroomLeft |= s.urgentOnlyHeadroomLeft();
            bulkOnlyHeadroomLeft |= s.bulkOnlyHeadroomLeft();
            remoteUrgentAccount =
                    remoteUrgentAccount == null ? s.nextUrgentAccount() : remoteUrgentAccount;
            remoteBulkAccount = remoteBulkAccount == null ? s.nextBulkAccount() : remoteBulkAccount;
        }
        return new PoolView(
                slots,
                bulk,
                urgentOnlyHeadroomLeft,
                bulkOnlyHeadroomLeft,
                remoteUrgentAccount,
                remoteBulkAccount);
    }

    /** Returns the number of slots of the largest pool that this router uses. */
    int slots() {
        return leases.values().stream().mapToInt(l -> l.state().slots()).max().orElse(0);
    }

    /** Returns and clears the suspensions that the coordinators have requested. */
    SuspensionCounts takeRequestedSuspensions() {
        SuspensionCounts requested = requestedSuspensions;
        requestedSuspensions = SuspensionCounts.NONE;
        return requested;
    }

    void receive(long now, HostId from, Claim claim) {
        CoordinatedPool c = coordinatedPools.get(claim.pool());
        if (c != null && c.coordinator.applyClaim(now, from, claim)) {
            c.dirty = true;
        }
    }

    void receive(HostId from, Grant grant) {
        PoolLease lease = leases.get(grant.pool());
        if (lease != null && lease.apply(from, grant, ownBulk(grant.pool()))) {
            requestedSuspensions = requestedSuspensions.plus(grant.requestedSuspensions());
        }
    }

    /** Updates leases and coordinated pools after a change of endpoints or routers. */
    void refresh(long now) {
        Set<String> usedPools = new TreeSet<>(endpoints.ownPools());
        for (Target target : queues.targets()) {
            usedPools.addAll(poolsServing(target));
        }
        usedPools.forEach(this::lease);
        leases.keySet().removeIf(p -> endpoints.pool(p).isEmpty());
        for (PoolLease lease : leases.values()) {
            lease.setCoordinator(coordinatorOf(lease.pool));
        }
        coordinatedPools.keySet().removeIf(p -> !coordinatorOf(p).equals(self));
        for (String pool : endpoints.pools()) {
            if (coordinatorOf(pool).equals(self)) {
                coordinatedPools.computeIfAbsent(
                        pool, p -> new CoordinatedPool(newCoordinator(now, p)));
            }
        }
        coordinatedPools.keySet().retainAll(endpoints.pools());
    }

    /**
     * Adds the due claims and grants to {@code out}.
     *
     * @param starter source of the counts of suspending and suspendable generations
     * @return whether this router applied a grant from itself as coordinator
     */
    boolean sendDue(long now, Starter starter, List<PolicyEffect> out) {
        for (PoolLease lease : leases.values()) {
            long minInterval = self.equals(lease.coordinator()) ? 0 : MIN_CLAIM_INTERVAL_MILLIS;
            boolean due = lease.isDirty() && now - lease.claimedAtMillis() >= minInterval;
            if (due || now - lease.claimedAtMillis() >= CLAIM_HEARTBEAT_MILLIS) {
                send(now, lease, starter, out);
            }
        }
        boolean applied = false;
        for (Map.Entry<String, CoordinatedPool> c : coordinatedPools.entrySet()) {
            applied |= allocateIfDue(now, c.getKey(), c.getValue(), out);
        }
        return applied;
    }

    private SlotCoordinator newCoordinator(long now, String pool) {
        boolean afterRouterLoss = now - routerLostAtMillis <= SlotCoordinator.LEASE_MILLIS;
        return new SlotCoordinator(pool, now, firstSequence, afterRouterLoss);
    }

    private boolean allocateIfDue(
            long now, String pool, CoordinatedPool c, List<PolicyEffect> out) {
        long sinceAllocation = now - c.allocatedAtMillis;
        boolean due =
                c.dirty && sinceAllocation >= MIN_ALLOCATION_INTERVAL_MILLIS
                        || sinceAllocation >= MAX_ALLOCATION_INTERVAL_MILLIS;
        if (!due || !hasQuorum) {
            return false;
        }
        c.dirty = false;
        c.allocatedAtMillis = now;
        boolean applied = false;
        Map<HostId, Grant> grants =
                c.coordinator.allocate(now, endpoints.pool(pool), routers, fairness);
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
                        heldSlots(now, lease),
                        waitingWork(lease.pool));
        if (self.equals(lease.coordinator())) {
            receive(now, self, claim);
        } else {
            out.add(new PolicyEffect.Send(lease.coordinator(), claim));
        }
    }

    private List<HeldSlots> heldSlots(long now, PoolLease lease) {
        List<HeldSlots> heldSlots = new ArrayList<>();
        for (EndpointState e : endpoints.pool(lease.pool)) {
            int grantedSlots = lease.grantedSlots(now, e.info.id());
            if (grantedSlots > 0 || e.running() > 0) {
                heldSlots.add(
                        new HeldSlots(
                                e.info.id(), grantedSlots, e.urgentRunning(), e.bulkRunning()));
            }
        }
        return heldSlots;
    }

    private List<WaitingWork> waitingWork(String pool) {
        List<WaitingWork> waitingWork = new ArrayList<>();
        for (Target target : queues.targets()) {
            if (poolsServing(target).contains(pool)) {
                addWaitingWork(queues.get(target, Rank.URGENT), waitingWork);
                addWaitingWork(queues.get(target, Rank.BULK), waitingWork);
            }
        }
        return waitingWork;
    }

    private static void addWaitingWork(FairQueue queue, List<WaitingWork> waitingWork) {
        if (queue == null) {
            return;
        }
        for (WorkItem head : queue.heads(MAX_CLAIMED_ACCOUNTS)) {
            WorkRequest r = head.request;
            int count = queue.size(r.account());
            waitingWork.add(
                    new WaitingWork(
                            r.rank(), r.account(), r.target(), count, head.preferredEndpoint));
        }
    }

    private int ownBulk(String pool) {
        return endpoints.pool(pool).stream().mapToInt(EndpointState::bulkRunning).sum();
    }

    private List<String> poolsServing(Target target) {
        return endpoints.serving(target).stream().map(e -> e.pool).distinct().toList();
    }

    private PoolLease lease(String pool) {
        PoolLease lease = leases.get(pool);
        if (lease == null) {
            lease = new PoolLease(pool, firstSequence);
            lease.setCoordinator(coordinatorOf(pool));
            leases.put(pool, lease);
        }
        return lease;
    }

    private HostId coordinatorOf(String pool) {
        HostId best = self;
        long highestScore = Long.MIN_VALUE;
        for (HostId h : routers) {
            long score = EndpointTable.hash(pool + "|" + h);
            if (score > highestScore) {
                highestScore = score;
                best = h;
            }
        }
        return best;
    }

    private static final class CoordinatedPool {
        private final SlotCoordinator coordinator;
        private boolean dirty = true;
        private long allocatedAtMillis = Long.MIN_VALUE / 2;

        private CoordinatedPool(SlotCoordinator coordinator) {
            this.coordinator = coordinator;
        }
    }
}
