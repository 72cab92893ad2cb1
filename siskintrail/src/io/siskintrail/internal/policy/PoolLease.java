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
 * The slots of one pool that this router may use, as its coordinator has granted them. The lease
 * runs from the time at which the acknowledged claim was sent, so that it ends here before it ends
 * at the coordinator, whatever the clocks show.
 */
final class PoolLease {
    private static final int REMEMBERED_CLAIMS = 64;
    private static final PoolState UNKNOWN = new PoolState(0, 0, 0, false, false, null, null);

    final String pool;
    private final Map<EndpointId, Integer> granted = new HashMap<>();
    private final LinkedHashMap<Long, Long> sentClaims = new LinkedHashMap<>();
    private HostId coordinator;
    private long sequence;
    private long appliedGrant;
    private long expiresAt;
    private long claimedAt;
    private PoolState state = UNKNOWN;
    private int bulkAtGrant;
    private int bulkLimit;
    private int fresh;
    private boolean dirty = true;

    PoolLease(String pool, long firstSequence) {
        this.pool = pool;
        this.sequence = firstSequence;
    }

    HostId coordinator() {
        return coordinator;
    }

    /** Turns to another coordinator; what the former one granted holds until it expires. */
    void follow(HostId newCoordinator) {
        if (!newCoordinator.equals(coordinator)) {
            coordinator = newCoordinator;
            appliedGrant = 0;
            sentClaims.clear();
            dirty = true;
        }
    }

    /**
     * Applies a grant.
     *
     * @param bulkRunning bulk generations of this router in the pool
     * @return whether it was new
     */
    boolean apply(HostId from, Grant grant, int bulkRunning) {
        Long sentAt = sentClaims.get(grant.ackedClaim());
        if (!from.equals(coordinator) || grant.sequence() <= appliedGrant || sentAt == null) {
            return false;
        }
        appliedGrant = grant.sequence();
        expiresAt = Math.max(expiresAt, sentAt + grant.leaseMillis());
        int before = granted.values().stream().mapToInt(n -> n).sum();
        granted.clear();
        for (GrantedSlots s : grant.slots()) {
            granted.put(s.endpoint(), s.count());
        }
        int after = granted.values().stream().mapToInt(n -> n).sum();
        fresh = Math.max(0, fresh + after - before);
        state = grant.state();
        bulkAtGrant = bulkRunning;
        bulkLimit = grant.bulkLimit();
        dirty = true;
        return true;
    }

    boolean isValid(long now) {
        return now < expiresAt;
    }

    /** Returns the slots of {@code endpoint} that may be used, those in use included. */
    int granted(long now, EndpointId endpoint) {
        return isValid(now) ? granted.getOrDefault(endpoint, 0) : 0;
    }

    /** Returns whether the next start uses a slot that was granted for waiting work. */
    boolean isFresh() {
        return fresh > 0;
    }

    /** Notes a start. */
    void used() {
        fresh = Math.max(0, fresh - 1);
    }

    /** Gives one slot of {@code endpoint} back to the coordinator. */
    void giveBack(EndpointId endpoint) {
        granted.computeIfPresent(endpoint, (e, n) -> n > 1 ? n - 1 : null);
        dirty = true;
    }

    /** Returns how many bulk generations may run in the pool. */
    int bulkLimit(long now) {
        return isValid(now) ? bulkLimit : 0;
    }

    /** Takes one off the limit of bulk generations, until the coordinator raises it. */
    void lowerBulkLimit() {
        bulkLimit = Math.max(0, bulkLimit - 1);
        dirty = true;
    }

    PoolState state() {
        return state;
    }

    /** Forgets the rival work that a slot was just given back for, until the next grant. */
    void clearRivals() {
        state =
                new PoolState(
                        state.slots(),
                        state.urgentRunning(),
                        state.bulkRunning(),
                        state.urgentTight(),
                        state.bulkTight(),
                        null,
                        null);
    }

    /** Returns the bulk generations of the pool, own changes since the last grant included. */
    int bulkRunning(int ownNow) {
        return state.bulkRunning() + ownNow - bulkAtGrant;
    }

    void markDirty() {
        dirty = true;
    }

    boolean isDirty() {
        return dirty;
    }

    long claimedAt() {
        return claimedAt;
    }

    long appliedGrant() {
        return appliedGrant;
    }

    /** Returns the sequence of a claim that is sent now. */
    long nextClaim(long now) {
        dirty = false;
        claimedAt = now;
        sequence++;
        sentClaims.put(sequence, now);
        if (sentClaims.size() > REMEMBERED_CLAIMS) {
            sentClaims.remove(sentClaims.keySet().iterator().next());
        }
        return sequence;
    }
}
