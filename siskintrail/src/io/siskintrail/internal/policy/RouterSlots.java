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

/** What a coordinator has granted to one router and what that router last claimed. */
final class RouterSlots {
    private static final int MAX_OUTSTANDING = 256;

    final HostId router;
    private final Map<EndpointId, Cell> cells = new TreeMap<>();
    private final ArrayDeque<Sent> outstanding = new ArrayDeque<>();
    private long claimSequence;
    private long claimedAt;
    private long appliedGrant;
    private long sentGrant;
    private long sentAt;
    private long ackedAtSend;
    private List<WaitingWork> waits = List.of();
    private boolean sentRivals;
    private boolean changed;
    private Suspensions suspendAsked = Suspensions.NONE;
    private int suspending;
    private Suspensions suspendToSend = Suspensions.NONE;
    private Suspensions suspendable = Suspensions.NONE;
    private int bulkLimit;

    RouterSlots(HostId router) {
        this.router = router;
    }

    /** Takes in a claim; returns false when it is older than the last one. */
    boolean apply(long now, Claim claim) {
        if (claim.sequence() <= claimSequence) {
            return false;
        }
        claimSequence = claim.sequence();
        claimedAt = now;
        appliedGrant = claim.appliedGrant();
        outstanding.removeIf(s -> s.sequence <= appliedGrant);
        waits = claim.waits();
        suspendable = claim.suspendable();
        suspending = claim.suspending();
        if (isCurrent() && suspendToSend.sum() == 0) {
            suspendAsked = Suspensions.NONE;
        }
        cells.values().forEach(Cell::clearClaim);
        for (HeldSlots h : claim.held()) {
            cell(h.endpoint()).claim(h);
        }
        if (sentGrant == 0) {
            cells.values().forEach(c -> c.sent = c.granted);
            bulkLimit = claim.bulkLimit();
        } else if (isCurrent()) {
            cells.values().forEach(c -> c.sent = Math.min(c.sent, c.granted));
            bulkLimit = hasBulkWaits() ? claim.bulkLimit() : bulk();
        }
        cells.values().removeIf(Cell::isEmpty);
        return true;
    }

    /** Returns whether the last claim was made under the last grant. */
    private boolean isCurrent() {
        return appliedGrant >= sentGrant;
    }

    boolean isSilent(long now, int leaseMillis) {
        return now - claimedAt > leaseMillis;
    }

    List<WaitingWork> waits() {
        return waits;
    }

    Iterable<EndpointId> endpoints() {
        return new ArrayList<>(cells.keySet());
    }

    /** Returns the slots of {@code id} that the router may be using. */
    int committed(EndpointId id) {
        Cell c = cells.get(id);
        if (c == null) {
            return 0;
        }
        int most = Math.max(c.sent, c.running());
        if (!isCurrent()) {
            most = Math.max(most, c.granted);
            for (Sent s : outstanding) {
                most = Math.max(most, s.counts.getOrDefault(id, 0));
            }
        }
        return most;
    }

    /** Returns slots that come free as soon as the router sees the last grant. */
    int pending(EndpointId id) {
        Cell c = cells.get(id);
        return c == null ? 0 : committed(id) - Math.max(c.sent, c.running());
    }

    /** Returns the granted slots that are not in use. */
    int idle(EndpointId id) {
        Cell c = cells.get(id);
        return c == null ? 0 : Math.max(0, c.sent - c.running());
    }

    int granted(EndpointId id) {
        Cell c = cells.get(id);
        return c == null ? 0 : c.sent;
    }

    int running(EndpointId id) {
        Cell c = cells.get(id);
        return c == null ? 0 : c.running();
    }

    int urgent() {
        return cells.values().stream().mapToInt(c -> c.urgent).sum();
    }

    int bulk() {
        return cells.values().stream().mapToInt(c -> c.bulk).sum();
    }

    /** Returns bulk generations that the router may still start. */
    int unusedBulk() {
        return Math.max(0, bulkLimit - bulk());
    }

    void allowBulk() {
        bulkLimit = Math.max(bulkLimit, bulk()) + 1;
        changed = true;
    }

    /** Returns how many generations of {@code kind} the router could suspend beside asked ones. */
    int suspendable(SuspendKind kind) {
        return suspendable.of(kind) - suspendAsked.sum();
    }

    private boolean hasBulkWaits() {
        return waits.stream().anyMatch(w -> w.rank() == Rank.BULK);
    }

    int bulk(EndpointId id) {
        Cell c = cells.get(id);
        return c == null ? 0 : c.bulk;
    }

    void grant(EndpointId id, int change) {
        Cell c = cell(id);
        c.sent += change;
        changed = true;
    }

    /** Returns generations that it suspends or was asked to suspend. */
    int suspending() {
        return suspendAsked.sum() + suspending;
    }

    void askToSuspend(SuspendKind kind) {
        suspendAsked = suspendAsked.plusOne(kind);
        suspendToSend = suspendToSend.plusOne(kind);
        changed = true;
    }

    /** Returns whether a grant has to be sent: for a change, a renewal or a lost one. */
    boolean needsGrant(long now, PoolState state, long renewMillis, long resendMillis) {
        if (changed) {
            return true;
        }
        boolean newClaim = claimSequence != ackedAtSend;
        if (newClaim && now - sentAt >= renewMillis) {
            return true;
        }
        if (now - sentAt < resendMillis) {
            return false;
        }
        boolean rivals = state.urgentWaiting() != null || state.bulkWaiting() != null;
        boolean firstRival = rivals && !sentRivals;
        return firstRival || newClaim && (rivals || !isCurrent());
    }

    /** Returns the grant to send now. */
    PolicyMessage.Grant send(long now, String pool, long sequence, int lease, PoolState state) {
        changed = false;
        sentGrant = sequence;
        sentAt = now;
        ackedAtSend = claimSequence;
        sentRivals = state.urgentWaiting() != null || state.bulkWaiting() != null;
        List<PolicyMessage.GrantedSlots> slots = new ArrayList<>();
        cells.forEach(
                (id, c) -> {
                    if (c.sent > 0) {
                        slots.add(new PolicyMessage.GrantedSlots(id, c.sent));
                    }
                });
        Map<EndpointId, Integer> counts = new HashMap<>();
        slots.forEach(s -> counts.put(s.endpoint(), s.count()));
        outstanding.addLast(new Sent(sequence, counts));
        if (outstanding.size() > MAX_OUTSTANDING) {
            outstanding.removeFirst();
        }
        Suspensions suspend = suspendToSend;
        suspendToSend = Suspensions.NONE;
        return new PolicyMessage.Grant(
                pool,
                sequence,
                claimSequence,
                lease,
                slots,
                Math.max(bulkLimit, bulk()),
                state,
                suspend);
    }

    private Cell cell(EndpointId id) {
        return cells.computeIfAbsent(id, i -> new Cell());
    }

    /** Counts of a grant that the router may or may not have applied since its last claim. */
    private record Sent(long sequence, Map<EndpointId, Integer> counts) {}

    private static final class Cell {
        private int sent;
        private int granted;
        private int urgent;
        private int bulk;

        private int running() {
            return urgent + bulk;
        }

        private void clearClaim() {
            granted = 0;
            urgent = 0;
            bulk = 0;
        }

        private void claim(HeldSlots h) {
            granted = h.granted();
            urgent = h.urgent();
            bulk = h.bulk();
        }

        private boolean isEmpty() {
            return sent == 0 && granted == 0 && running() == 0;
        }
    }
}
