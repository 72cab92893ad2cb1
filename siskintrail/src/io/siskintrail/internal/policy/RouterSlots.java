package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyMessage.Claim;
import io.siskintrail.internal.policy.PolicyMessage.HeldSlots;
import io.siskintrail.internal.policy.PolicyMessage.PoolState;
import io.siskintrail.internal.policy.PolicyMessage.WaitingWork;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** State that the coordinator of a pool keeps of one router: the last claim and the grants. */
final class RouterSlots {
    private static final int MAX_OUTSTANDING_GRANTS = 256;

    final HostId router;
    private final Map<EndpointId, EndpointSlots> slotsByEndpoint = new TreeMap<>();
    private final ArrayDeque<SentGrant> outstandingGrants = new ArrayDeque<>();
    private long claimSequence;
    private long claimedAtMillis;
    private long appliedGrantSequence;
    private long sentGrantSequence;
    private long grantSentAtMillis;
    private long acknowledgedClaimSequence;
    private List<WaitingWork> waitingWork = List.of();
    private boolean lastGrantNamedRemoteWork;
    private boolean hasUnsentChange;
    private SuspensionCounts requestedSuspensions = SuspensionCounts.NONE;
    private int suspendingAtClaim;
    private SuspensionCounts unsentSuspensions = SuspensionCounts.NONE;
    private SuspensionCounts suspendableAtClaim = SuspensionCounts.NONE;
    private int bulkLimit;

    RouterSlots(HostId router) {
        this.router = router;
    }

    /** Applies a claim; returns false when the claim is not newer than the last one. */
    boolean apply(long now, Claim claim) {
        if (claim.sequence() <= claimSequence) {
            return false;
        }
        claimSequence = claim.sequence();
        claimedAtMillis = now;
        appliedGrantSequence = claim.appliedGrant();
        outstandingGrants.removeIf(g -> g.sequence <= appliedGrantSequence);
        waitingWork = claim.waitingWork();
        suspendableAtClaim = claim.suspendable();
        suspendingAtClaim = claim.suspending();
        if (isLastGrantApplied() && unsentSuspensions.sum() == 0) {
            requestedSuspensions = SuspensionCounts.NONE;
        }
        slotsByEndpoint.values().forEach(EndpointSlots::clearClaim);
        for (HeldSlots h : claim.heldSlots()) {
            slotsOf(h.endpoint()).applyClaim(h);
        }
        // Before its first grant, the coordinator takes over the slots that the router holds.
        if (sentGrantSequence == 0) {
            slotsByEndpoint.values().forEach(s -> s.allocated = s.heldAtClaim);
            bulkLimit = claim.bulkLimit();
        } else if (isLastGrantApplied()) {
            slotsByEndpoint
                    .values()
                    .forEach(s -> s.allocated = Math.min(s.allocated, s.heldAtClaim));
            bulkLimit = hasWaitingBulkWork() ? claim.bulkLimit() : bulkRunning();
        }
        slotsByEndpoint.values().removeIf(EndpointSlots::isEmpty);
        return true;
    }

    /** Returns whether the router had applied the last grant when it sent its last claim. */
    private boolean isLastGrantApplied() {
        return appliedGrantSequence >= sentGrantSequence;
    }

    /** Returns whether the last claim arrived more than {@code leaseMillis} before {@code now}. */
    boolean isClaimExpired(long now, int leaseMillis) {
        return now - claimedAtMillis > leaseMillis;
    }

    List<WaitingWork> waitingWork() {
        return waitingWork;
    }

    Iterable<EndpointId> endpoints() {
        return new ArrayList<>(slotsByEndpoint.keySet());
    }

    /**
     * Returns the largest number of slots of {@code id} that the router can be using, including
     * those of grants that the router has not acknowledged.
     */
    int committed(EndpointId id) {
        EndpointSlots slots = slotsByEndpoint.get(id);
        if (slots == null) {
            return 0;
        }
        int maximum = Math.max(slots.allocated, slots.running());
        if (!isLastGrantApplied()) {
            maximum = Math.max(maximum, slots.heldAtClaim);
            for (SentGrant sentGrant : outstandingGrants) {
                maximum = Math.max(maximum, sentGrant.counts.getOrDefault(id, 0));
            }
        }
        return maximum;
    }

    /** Returns the slots of {@code id} that become free once the router applies the last grant. */
    int slotsBeingFreed(EndpointId id) {
        EndpointSlots slots = slotsByEndpoint.get(id);
        return slots == null ? 0 : committed(id) - Math.max(slots.allocated, slots.running());
    }

    /** Returns the allocated slots of {@code id} that were not in use at the last claim. */
    int idleSlots(EndpointId id) {
        EndpointSlots slots = slotsByEndpoint.get(id);
        return slots == null ? 0 : Math.max(0, slots.allocated - slots.running());
    }

    /** Returns the slots of {@code id} that the next grant gives to the router. */
    int allocated(EndpointId id) {
        EndpointSlots slots = slotsByEndpoint.get(id);
        return slots == null ? 0 : slots.allocated;
    }

    /** Returns the slots of {@code id} that were in use at the last claim. */
    int running(EndpointId id) {
        EndpointSlots slots = slotsByEndpoint.get(id);
        return slots == null ? 0 : slots.running();
    }

    /** Returns the slots in use by urgent work at the last claim. */
    int urgentRunning() {
        return slotsByEndpoint.values().stream().mapToInt(s -> s.urgentRunning).sum();
    }

    /** Returns the slots in use by bulk work at the last claim. */
    int bulkRunning() {
        return slotsByEndpoint.values().stream().mapToInt(s -> s.bulkRunning).sum();
    }

    /** Returns how many more bulk generations the router may start. */
    int remainingBulkStarts() {
        return Math.max(0, bulkLimit - bulkRunning());
    }

    void raiseBulkLimit() {
        bulkLimit = Math.max(bulkLimit, bulkRunning()) + 1;
        hasUnsentChange = true;
    }

    /**
     * Returns how many generations of {@code kind} can be suspended, less the requested suspensions
     * of all kinds; may be negative.
     */
    int suspendable(SuspendKind kind) {
        return suspendableAtClaim.of(kind) - requestedSuspensions.sum();
    }

    private boolean hasWaitingBulkWork() {
        return waitingWork.stream().anyMatch(w -> w.rank() == Rank.BULK);
    }

    int bulkRunning(EndpointId id) {
        EndpointSlots slots = slotsByEndpoint.get(id);
        return slots == null ? 0 : slots.bulkRunning;
    }

    /**
     * Adds {@code change} to the allocated slots of {@code id}; a negative change removes slots.
     */
    void changeAllocation(EndpointId id, int change) {
        EndpointSlots slots = slotsOf(id);
        slots.allocated += change;
        hasUnsentChange = true;
    }

    /** Returns how many generations the router is suspending or has been requested to suspend. */
    int suspending() {
        return requestedSuspensions.sum() + suspendingAtClaim;
    }

    void requestSuspension(SuspendKind kind) {
        requestedSuspensions = requestedSuspensions.plusOne(kind);
        unsentSuspensions = unsentSuspensions.plusOne(kind);
        hasUnsentChange = true;
    }

    /**
     * Returns whether a grant must be sent now: for a change, to renew the lease, because work has
     * started to wait on other routers, or because the last grant may be lost.
     *
     * @param renewMillis minimum time between two grants that only renew the lease
     * @param resendMillis minimum time after a grant before another is sent because work waits on
     *     other routers or the first may be lost
     */
    boolean needsGrant(long now, PoolState state, long renewMillis, long resendMillis) {
        if (hasUnsentChange) {
            return true;
        }
        boolean hasNewClaim = claimSequence != acknowledgedClaimSequence;
        if (hasNewClaim && now - grantSentAtMillis >= renewMillis) {
            return true;
        }
        if (now - grantSentAtMillis < resendMillis) {
            return false;
        }
        boolean hasRemoteWork =
                state.nextUrgentAccount() != null || state.nextBulkAccount() != null;
        boolean isRemoteWorkNew = hasRemoteWork && !lastGrantNamedRemoteWork;
        return isRemoteWorkNew || hasNewClaim && (hasRemoteWork || !isLastGrantApplied());
    }

    /** Returns the grant to send now and records it as outstanding. */
    PolicyMessage.Grant nextGrant(
            long now, String pool, long sequence, int leaseMillis, PoolState state) {
        hasUnsentChange = false;
        sentGrantSequence = sequence;
        grantSentAtMillis = now;
        acknowledgedClaimSequence = claimSequence;
        lastGrantNamedRemoteWork =
                state.nextUrgentAccount() != null || state.nextBulkAccount() != null;
        List<PolicyMessage.GrantedSlots> slots = new ArrayList<>();
        slotsByEndpoint.forEach(
                (id, endpointSlots) -> {
                    if (endpointSlots.allocated > 0) {
                        slots.add(new PolicyMessage.GrantedSlots(id, endpointSlots.allocated));
                    }
                });
        Map<EndpointId, Integer> counts = new HashMap<>();
        slots.forEach(s -> counts.put(s.endpoint(), s.count()));
        outstandingGrants.addLast(new SentGrant(sequence, counts));
        if (outstandingGrants.size() > MAX_OUTSTANDING_GRANTS) {
            outstandingGrants.removeFirst();
        }
        SuspensionCounts suspensionsToSend = unsentSuspensions;
        unsentSuspensions = SuspensionCounts.NONE;
        return new PolicyMessage.Grant(
                pool,
                sequence,
                claimSequence,
                leaseMillis,
                slots,
                Math.max(bulkLimit, bulkRunning()),
                state,
                suspensionsToSend);
    }

    private EndpointSlots slotsOf(EndpointId id) {
        return slotsByEndpoint.computeIfAbsent(id, i -> new EndpointSlots());
    }

    /**
     * A grant that the router had not acknowledged at its last claim.
     *
     * @param counts number of granted slots by endpoint
     */
    private record SentGrant(long sequence, Map<EndpointId, Integer> counts) {}

    /**
     * Slots of one endpoint: those that the next grant gives to the router, and those that the
     * router held and used at its last claim.
     */
    private static final class EndpointSlots {
        private int allocated;
        private int heldAtClaim;
        private int urgentRunning;
        private int bulkRunning;

        private int running() {
            return urgentRunning + bulkRunning;
        }

        private void clearClaim() {
            heldAtClaim = 0;
            urgentRunning = 0;
            bulkRunning = 0;
        }

        private void applyClaim(HeldSlots heldSlots) {
            heldAtClaim = heldSlots.granted();
            urgentRunning = heldSlots.urgent();
            bulkRunning = heldSlots.bulk();
        }

        private boolean isEmpty() {
            return allocated == 0 && heldAtClaim == 0 && running() == 0;
        }
    }
}
