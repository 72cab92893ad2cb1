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

/** Slots that a coordinator has granted to one router, and the last claim of that router. */
final class RouterSlots {
    private static final int MAX_OUTSTANDING_GRANTS = 256;

    final HostId router;
    private final Map<EndpointId, EndpointSlots> slotsByEndpoint = new TreeMap<>();
    private final ArrayDeque<SentGrant> outstandingGrants = new ArrayDeque<>();
    private long claimSequence;
    private long claimedAtMillis;
    private long appliedGrantSequence;
    private long sentGrantSequence;
    private long sentAtMillis;
    private long claimSequenceAtSend;
    private List<WaitingWork> waitingWork = List.of();
    private boolean sentRemoteWork;
    private boolean hasUnsentChange;
    private SuspensionCounts requestedSuspensions = SuspensionCounts.NONE;
    private int suspending;
    private SuspensionCounts unsentSuspensions = SuspensionCounts.NONE;
    private SuspensionCounts suspendable = SuspensionCounts.NONE;
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
        outstandingGrants.removeIf(s -> s.sequence <= appliedGrantSequence);
        waitingWork = claim.waitingWork();
        suspendable = claim.suspendable();
        suspending = claim.suspending();
        if (isLastGrantApplied() && unsentSuspensions.sum() == 0) {
            requestedSuspensions = SuspensionCounts.NONE;
        }
        slotsByEndpoint.values().forEach(EndpointSlots::clearClaim);
        for (HeldSlots h : claim.heldSlots()) {
            slotsOf(h.endpoint()).applyClaim(h);
        }
        if (sentGrantSequence == 0) {
            slotsByEndpoint.values().forEach(c -> c.allocated = c.claimed);
            bulkLimit = claim.bulkLimit();
        } else if (isLastGrantApplied()) {
            slotsByEndpoint.values().forEach(c -> c.allocated = Math.min(c.allocated, c.claimed));
            bulkLimit = hasWaitingBulkWork() ? claim.bulkLimit() : bulk();
        }
        slotsByEndpoint.values().removeIf(EndpointSlots::isEmpty);
        return true;
    }

    /** Returns whether the router had applied the last grant when it sent its last claim. */
    private boolean isLastGrantApplied() {
        return appliedGrantSequence >= sentGrantSequence;
    }

    boolean isSilent(long now, int leaseMillis) {
        return now - claimedAtMillis > leaseMillis;
    }

    List<WaitingWork> waitingWork() {
        return waitingWork;
    }

    Iterable<EndpointId> endpoints() {
        return new ArrayList<>(slotsByEndpoint.keySet());
    }

    /** Returns the slots of {@code id} that the router may be using. */
    int committed(EndpointId id) {
        EndpointSlots c = slotsByEndpoint.get(id);
        if (c == null) {
            return 0;
        }
        int most = Math.max(c.allocated, c.running());
        if (!isLastGrantApplied()) {
            most = Math.max(most, c.claimed);
            for (SentGrant s : outstandingGrants) {
                most = Math.max(most, s.counts.getOrDefault(id, 0));
            }
        }
        return most;
    }

    /** Returns the slots of {@code id} that become free once the router applies the last grant. */
    int pendingSlots(EndpointId id) {
        EndpointSlots c = slotsByEndpoint.get(id);
        return c == null ? 0 : committed(id) - Math.max(c.allocated, c.running());
    }

    /** Returns the allocated slots of {@code id} that are not in use. */
    int idleSlots(EndpointId id) {
        EndpointSlots c = slotsByEndpoint.get(id);
        return c == null ? 0 : Math.max(0, c.allocated - c.running());
    }

    int allocated(EndpointId id) {
        EndpointSlots c = slotsByEndpoint.get(id);
        return c == null ? 0 : c.allocated;
    }

    int running(EndpointId id) {
        EndpointSlots c = slotsByEndpoint.get(id);
        return c == null ? 0 : c.running();
    }

    int urgent() {
        return slotsByEndpoint.values().stream().mapToInt(c -> c.urgent).sum();
    }

    int bulk() {
        return slotsByEndpoint.values().stream().mapToInt(c -> c.bulk).sum();
    }

    /** Returns how many more bulk generations the router may start. */
    int unusedBulkStarts() {
        return Math.max(0, bulkLimit - bulk());
    }

    void raiseBulkLimit() {
        bulkLimit = Math.max(bulkLimit, bulk()) + 1;
        hasUnsentChange = true;
    }

    /** Returns how many generations of {@code kind} can be suspended besides those requested. */
    int suspendable(SuspendKind kind) {
        return suspendable.of(kind) - requestedSuspensions.sum();
    }

    private boolean hasWaitingBulkWork() {
        return waitingWork.stream().anyMatch(w -> w.rank() == Rank.BULK);
    }

    int bulk(EndpointId id) {
        EndpointSlots c = slotsByEndpoint.get(id);
        return c == null ? 0 : c.bulk;
    }

    void grant(EndpointId id, int change) {
        EndpointSlots c = slotsOf(id);
        c.allocated += change;
        hasUnsentChange = true;
    }

    /** Returns the number of generations that the router suspends or was requested to suspend. */
    int suspending() {
        return requestedSuspensions.sum() + suspending;
    }

    void requestSuspension(SuspendKind kind) {
        requestedSuspensions = requestedSuspensions.plusOne(kind);
        unsentSuspensions = unsentSuspensions.plusOne(kind);
        hasUnsentChange = true;
    }

    /** Returns whether a grant must be sent: for a change, a renewal or after a lost grant. */
    boolean needsGrant(long now, PoolState state, long renewMillis, long resendMillis) {
        if (hasUnsentChange) {
            return true;
        }
        boolean newClaim = claimSequence != claimSequenceAtSend;
        if (newClaim && now - sentAtMillis >= renewMillis) {
            return true;
        }
        if (now - sentAtMillis < resendMillis) {
            return false;
        }
        boolean hasRemoteWork =
                state.nextUrgentAccount() != null || state.nextBulkAccount() != null;
        boolean isFirstRemoteWork = hasRemoteWork && !sentRemoteWork;
        return isFirstRemoteWork || newClaim && (hasRemoteWork || !isLastGrantApplied());
    }

    /** Returns the grant to send now and records it as outstanding. */
    PolicyMessage.Grant nextGrant(
            long now, String pool, long sequence, int leaseMillis, PoolState state) {
        hasUnsentChange = false;
        sentGrantSequence = sequence;
        sentAtMillis = now;
        claimSequenceAtSend = claimSequence;
        sentRemoteWork = state.nextUrgentAccount() != null || state.nextBulkAccount() != null;
        List<PolicyMessage.GrantedSlots> slots = new ArrayList<>();
        slotsByEndpoint.forEach(
                (id, c) -> {
                    if (c.allocated > 0) {
                        slots.add(new PolicyMessage.GrantedSlots(id, c.allocated));
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
                Math.max(bulkLimit, bulk()),
                state,
                suspensionsToSend);
    }

    private EndpointSlots slotsOf(EndpointId id) {
        return slotsByEndpoint.computeIfAbsent(id, i -> new EndpointSlots());
    }

    /** Slots of a sent grant that the router had not acknowledged by its last claim. */
    private record SentGrant(long sequence, Map<EndpointId, Integer> counts) {}

    private static final class EndpointSlots {
        private int allocated;
        private int claimed;
        private int urgent;
        private int bulk;

        private int running() {
            return urgent + bulk;
        }

        private void clearClaim() {
            claimed = 0;
            urgent = 0;
            bulk = 0;
        }

        private void applyClaim(HeldSlots h) {
            claimed = h.granted();
            urgent = h.urgent();
            bulk = h.bulk();
        }

        private boolean isEmpty() {
            return allocated == 0 && claimed == 0 && running() == 0;
        }
    }
}
