package io.siskintrail.internal.generation;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Subscribes this router's callers to generations that other routers own, and locates the owners of
 * requests that are not known here.
 */
final class RemoteSubscriptions {
    private static final int MAX_SILENT_RENEWALS = 3;
    private static final int MAX_FOUND_OWNER_DEADLINES = 3;
    private static final long MIN_GAP_RENEWAL_INTERVAL_MILLIS = 20;

    private final Stripe stripe;
    private final Consumer<RelayedCaller> whenUnknown;
    private final Map<Long, RelayedCaller> callers = new LinkedHashMap<>();

    /**
     * Creates a set without callers.
     *
     * @param whenUnknown receives a caller whose request no candidate knows
     */
    RemoteSubscriptions(Stripe stripe, Consumer<RelayedCaller> whenUnknown) {
        this.stripe = stripe;
        this.whenUnknown = whenUnknown;
    }

    boolean isEmpty() {
        return callers.isEmpty();
    }

    /** Asks the candidate routers whether they know the request. */
    void locateOwner(RelayedCaller r) {
        callers.put(r.caller, r);
        r.searching = true;
        r.searchedAt = stripe.now;
        r.bestLocated = null;
        r.pendingCandidates.clear();
        r.pendingCandidates.addAll(stripe.peers.candidates(r.spec.ref()));
        r.pendingCandidates.forEach(
                host -> stripe.send(host, new BuddyMessage.Locate(r.spec.ref())));
        if (r.pendingCandidates.isEmpty() && r.generation == null) {
            completeSearch(r);
        }
    }

    /** Subscribes a caller at the owner of epoch {@code epoch}. */
    void followOwner(RelayedCaller r, OwnerEpoch epoch) {
        callers.put(r.caller, r);
        r.searching = false;
        r.owner = epoch.owner();
        r.followedEpoch = epoch;
        r.heardAt = stripe.now;
        subscribe(r);
    }

    void detach(long caller) {
        RelayedCaller r = callers.remove(caller);
        if (r != null && r.owner != null) {
            stripe.send(r.owner, new BuddyMessage.Unsubscribe(r.spec.ref(), r.generation, caller));
        }
    }

    /** Removes and returns the callers of a request that this router now owns. */
    List<RelayedCaller> removeCallersOf(RequestRef ref) {
        List<RelayedCaller> taken = new ArrayList<>();
        callers.values()
                .removeIf(r -> r.spec.ref().equals(ref) && r.generation != null && taken.add(r));
        return taken;
    }

    void onLocated(HostId from, BuddyMessage.Located m) {
        for (RelayedCaller r : callersOf(m.ref())) {
            if (!isAttached(r)) {
                continue;
            }
            if (!r.searching) {
                if (m.generation() == null && from.equals(r.owner)) {
                    scheduleSearch(r);
                }
            } else if (r.pendingCandidates.remove(from)) {
                boolean better =
                        m.generation() != null
                                && (r.bestLocated == null
                                        || m.epoch().fences(r.bestLocated.epoch()));
                r.bestLocated = better ? m : r.bestLocated;
                if (r.pendingCandidates.isEmpty()
                        && (r.bestLocated != null || r.generation == null)) {
                    completeSearch(r);
                }
            }
        }
    }

    void onOwned(BuddyMessage.Owned m) {
        for (RelayedCaller r : callersOf(m.ref())) {
            boolean isNewer = r.followedEpoch == null || m.epoch().fences(r.followedEpoch);
            if (m.generation().equals(r.generation) && isNewer) {
                followOwner(r, m.epoch());
            }
        }
    }

    void onRelay(BuddyMessage.Relay m) {
        RelayedCaller r = callers.get(m.caller());
        if (r == null || r.searching || !m.generation().equals(r.generation)) {
            return;
        }
        boolean stale = r.epoch != null && r.epoch.fences(m.epoch());
        if (stale) {
            return;
        }
        r.heardAt = stripe.now;
        r.searchingSince = stripe.now;
        boolean sameJournal =
                m.epoch().equals(r.epoch)
                        || (Objects.equals(m.basisEpoch(), r.epoch) && m.basisOffset() == r.offset);
        if (!sameJournal || m.from() > r.offset) {
            renewAfterGap(r);
            return;
        }
        r.epoch = m.epoch();
        r.owner = m.epoch().owner();
        deliver(r, m);
    }

    void onDiverged(BuddyMessage.Diverged m) {
        RelayedCaller r = callers.get(m.caller());
        if (r != null && m.generation().equals(r.generation)) {
            finish(r, ResultCode.POSITION_LOST, "the rest of this answer is lost");
        }
    }

    void tick() {
        for (RelayedCaller r : List.copyOf(callers.values())) {
            long renewal = stripe.settings.relayRenewal();
            if (!isAttached(r)) {
                continue;
            }
            if (r.searching) {
                if (stripe.now - r.searchedAt > stripe.settings.lookupTimeout()) {
                    completeSearch(r);
                }
            } else if (stripe.now - r.heardAt > MAX_SILENT_RENEWALS * renewal) {
                locateOwner(r);
            } else if (stripe.now - r.renewedAt > renewal) {
                subscribe(r);
            }
        }
    }

    void finish(RelayedCaller r, ResultCode code, String detail) {
        callers.remove(r.caller);
        stripe.emit(new GenerationEffect.Finish(r.caller, new Outcome(code, detail), r.offset));
    }

    private void completeSearch(RelayedCaller r) {
        BuddyMessage.Located found = r.bestLocated;
        long searchMillis = stripe.now - r.searchingSince;
        if (found == null) {
            handleNotFound(r);
        } else if (searchMillis > MAX_FOUND_OWNER_DEADLINES * stripe.settings.reconnectDeadline()) {
            finish(r, ResultCode.GENERATION_LOST, "the owner of this answer cannot be reached");
        } else if (!found.fingerprint().equals(r.spec.fingerprint())) {
            finish(
                    r,
                    ResultCode.KEY_REUSED,
                    "the idempotency key belongs to a request with another body");
        } else if (r.generation != null && !r.generation.equals(found.generation())) {
            if (r.offset > 0) {
                finish(
                        r,
                        ResultCode.POSITION_LOST,
                        "the idempotency key now refers to another answer");
            } else {
                r.generation = found.generation();
                r.epoch = null;
                followOwner(r, found.epoch());
            }
        } else {
            r.generation = found.generation();
            followOwner(r, found.epoch());
        }
    }

    private void handleNotFound(RelayedCaller r) {
        boolean mayReappear =
                r.generation != null
                        && stripe.now - r.searchingSince < stripe.settings.reconnectDeadline();
        if (mayReappear && stripe.peers.hasPeers()) {
            locateOwner(r);
            return;
        }
        callers.remove(r.caller);
        whenUnknown.accept(r);
    }

    private void deliver(RelayedCaller r, BuddyMessage.Relay m) {
        int overlap = r.offset - m.from();
        if (overlap < m.run().size()) {
            TokenRun newTokens = m.run().from(overlap);
            r.offset += newTokens.size();
            Position after = new Position(r.generation, r.epoch, r.offset);
            stripe.emit(new GenerationEffect.Deliver(r.caller, newTokens, after));
        }
        if (m.outcome() != null && m.from() + m.run().size() == r.offset) {
            callers.remove(r.caller);
            stripe.emit(new GenerationEffect.Finish(r.caller, m.outcome(), r.offset));
            stripe.send(
                    r.owner, new BuddyMessage.Unsubscribe(r.spec.ref(), r.generation, r.caller));
        }
    }

    /** Schedules the next search no later than one lookup timeout from now. */
    private void scheduleSearch(RelayedCaller r) {
        long limit = MAX_SILENT_RENEWALS * stripe.settings.relayRenewal();
        r.heardAt = Math.min(r.heardAt, stripe.now - limit + stripe.settings.lookupTimeout());
    }

    private void renewAfterGap(RelayedCaller r) {
        if (stripe.now - r.renewedAt >= MIN_GAP_RENEWAL_INTERVAL_MILLIS) {
            subscribe(r);
        }
    }

    private void subscribe(RelayedCaller r) {
        r.renewedAt = stripe.now;
        stripe.send(
                r.owner,
                new BuddyMessage.Subscribe(
                        r.spec.ref(), r.generation, r.caller, r.epoch, r.offset));
    }

    /** Returns false for a caller that was removed while other callers were handled. */
    private boolean isAttached(RelayedCaller r) {
        return callers.get(r.caller) == r;
    }

    private List<RelayedCaller> callersOf(RequestRef ref) {
        return callers.values().stream().filter(r -> r.spec.ref().equals(ref)).toList();
    }
}
