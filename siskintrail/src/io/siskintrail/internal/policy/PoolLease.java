package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyMessage.Grant;
import io.siskintrail.internal.policy.PolicyMessage.GrantedSlots;
import io.siskintrail.internal.policy.PolicyMessage.PoolState;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Lease of this router on slots of one pool, granted by the coordinator of the pool. The lease runs
 * from the time at which the acknowledged claim was sent, so that it expires here before it expires
 * at the coordinator, independent of clock offsets between the hosts.
 */
final class PoolLease {
    private static final int MAX_REMEMBERED_CLAIMS = 64;
    private static final PoolState UNKNOWN_STATE = new PoolState(0, 0, 0, false, false, null, null);

    final String pool;
    private final Map<EndpointId, Integer> grantedSlots = new HashMap<>();
    private final LinkedHashMap<Long, Long> claimSentAtMillis = new LinkedHashMap<>();
    private HostId coordinator;
    private long sequence;
    private long appliedGrant;
    private long expiresAtMillis;
    private long claimedAtMillis;
    private PoolState state = UNKNOWN_STATE;
    private int ownBulkAtGrant;
    private int bulkLimit;
    private int slotsForWaitingWork;
    private boolean dirty = true;

    PoolLease(String pool, long firstSequence) {
        this.pool = pool;
        this.sequence = firstSequence;
    }

    HostId coordinator() {
        return coordinator;
    }

    /** Sets the coordinator; slots granted by the previous one stay valid until they expire. */
    void setCoordinator(HostId newCoordinator) {
        if (!newCoordinator.equals(coordinator)) {
            coordinator = newCoordinator;
            appliedGrant = 0;
            claimSentAtMillis.clear();
            dirty = true;
        }
    }

    /**
     * Applies a grant from the coordinator; ignores old grants and grants for unknown claims.
     *
     * @param bulkRunning bulk generations of this router in the pool
     * @return whether the grant was applied
     */
    boolean apply(HostId from, Grant grant, int bulkRunning) {
        Long sentAtMillis = claimSentAtMillis.get(grant.acknowledgedClaim());
        if (!from.equals(coordinator) || grant.sequence() <= appliedGrant || sentAtMillis == null) {
            return false;
        }
        appliedGrant = grant.sequence();
        expiresAtMillis = Math.max(expiresAtMillis, sentAtMillis + grant.leaseMillis());
        int grantedBefore = grantedSlots.values().stream().mapToInt(n -> n).sum();
        grantedSlots.clear();
        for (GrantedSlots s : grant.slots()) {
            grantedSlots.put(s.endpoint(), s.count());
        }
        int grantedAfter = grantedSlots.values().stream().mapToInt(n -> n).sum();
        slotsForWaitingWork = Math.max(0, slotsForWaitingWork + grantedAfter - grantedBefore);
        state = grant.state();
        ownBulkAtGrant = bulkRunning;
        bulkLimit = grant.bulkLimit();
        dirty = true;
        return true;
    }

    boolean isValid(long now) {
        return now < expiresAtMillis;
    }

    /** Returns the slots of {@code endpoint} that may be used, including those in use. */
    int grantedSlots(long now, EndpointId endpoint) {
        return isValid(now) ? grantedSlots.getOrDefault(endpoint, 0) : 0;
    }

    /** Returns whether the next start uses a slot that was newly granted for waiting work. */
    boolean hasSlotForWaitingWork() {
        return slotsForWaitingWork > 0;
    }

    /** Records the start of a request in the pool. */
    void recordStart() {
        slotsForWaitingWork = Math.max(0, slotsForWaitingWork - 1);
    }

    /** Returns one slot of {@code endpoint} to the coordinator. */
    void giveBack(EndpointId endpoint) {
        grantedSlots.computeIfPresent(endpoint, (e, n) -> n > 1 ? n - 1 : null);
        dirty = true;
    }

    /** Returns how many bulk generations this router may run in the pool; 0 without a lease. */
    int bulkLimit(long now) {
        return isValid(now) ? bulkLimit : 0;
    }

    /** Lowers the limit of bulk generations by one, until the next grant sets it. */
    void lowerBulkLimit() {
        bulkLimit = Math.max(0, bulkLimit - 1);
        dirty = true;
    }

    PoolState state() {
        return state;
    }

    /** Clears the work of other routers that a slot was returned for, until the next grant. */
    void clearRemoteWaiting() {
        state =
                new PoolState(
                        state.slots(),
                        state.urgentRunning(),
                        state.bulkRunning(),
                        state.urgentOnlyHeadroomLeft(),
                        state.bulkOnlyHeadroomLeft(),
                        null,
                        null);
    }

    /** Returns the bulk generations in the pool, including own changes since the last grant. */
    int bulkRunning(int ownBulkNow) {
        return state.bulkRunning() + ownBulkNow - ownBulkAtGrant;
    }

    void markDirty() {
        dirty = true;
    }

    boolean isDirty() {
        return dirty;
    }

    long claimedAtMillis() {
        return claimedAtMillis;
    }

    long appliedGrant() {
        return appliedGrant;
    }

    /** Returns the sequence number of the claim to send now and remembers its time. */
    long nextClaim(long now) {
        dirty = false;
        claimedAtMillis = now;
        sequence++;
        claimSentAtMillis.put(sequence, now);
        if (claimSentAtMillis.size() > MAX_REMEMBERED_CLAIMS) {
            claimSentAtMillis.remove(claimSentAtMillis.keySet().iterator().next());
        }
        return sequence;
    }
}
