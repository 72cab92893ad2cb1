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
 * requests that this router does not know.
 */
final class RemoteSubscriptions {
    /** Renewal intervals without a message from the owner after which a new search starts. */
    private static final int MAX_SILENT_RENEWAL_INTERVALS = 3;

    /**
     * Multiple of the reconnect deadline after which a caller gets an error although a router named
     * an owner.
     */
    private static final int FOUND_OWNER_DEADLINE_FACTOR = 3;

    /**
     * Limits renewals after a gap, because each later message of the stream shows the gap again.
     */
    private static final long MIN_RENEWAL_INTERVAL_AFTER_GAP_MILLIS = 20;

    private final Stripe stripe;
    private final Consumer<RelayedCaller> onUnknownRequest;
    private final Map<Long, RelayedCaller> callers = new LinkedHashMap<>();

    /**
     * Creates a set without callers.
     *
     * @param onUnknownRequest receives a caller whose request none of the asked routers knows
     */
    RemoteSubscriptions(Stripe stripe, Consumer<RelayedCaller> onUnknownRequest) {
        this.stripe = stripe;
        this.onUnknownRequest = onUnknownRequest;
    }

    boolean isEmpty() {
        return callers.isEmpty();
    }

    /** Starts or restarts the search: asks the candidate routers whether they know the request. */
    void locateOwner(RelayedCaller relayed) {
        callers.put(relayed.caller, relayed);
        relayed.searching = true;
        relayed.searchStartedAt = stripe.now;
        relayed.bestLocated = null;
        relayed.pendingCandidates.clear();
        relayed.pendingCandidates.addAll(stripe.peers.candidates(relayed.spec.ref()));
        relayed.pendingCandidates.forEach(
                host -> stripe.send(host, new BuddyMessage.Locate(relayed.spec.ref())));
        if (relayed.pendingCandidates.isEmpty() && relayed.generation == null) {
            completeSearch(relayed);
        }
    }

    /** Ends the search and subscribes the caller at the router that owns the generation. */
    void followOwner(RelayedCaller relayed, OwnerEpoch epoch) {
        callers.put(relayed.caller, relayed);
        relayed.searching = false;
        relayed.owner = epoch.owner();
        relayed.followedEpoch = epoch;
        relayed.heardAt = stripe.now;
        subscribe(relayed);
    }

    void detach(long caller) {
        RelayedCaller relayed = callers.remove(caller);
        if (relayed != null && relayed.owner != null) {
            stripe.send(
                    relayed.owner,
                    new BuddyMessage.Unsubscribe(relayed.spec.ref(), relayed.generation, caller));
        }
    }

    /**
     * Removes and returns the callers of a request that this router now owns. Callers whose
     * generation is not known yet stay.
     */
    List<RelayedCaller> removeCallersOf(RequestRef ref) {
        List<RelayedCaller> removed = new ArrayList<>();
        callers.values()
                .removeIf(
                        relayed ->
                                relayed.spec.ref().equals(ref)
                                        && relayed.generation != null
                                        && removed.add(relayed));
        return removed;
    }

    void onLocated(HostId from, BuddyMessage.Located m) {
        for (RelayedCaller relayed : callersOf(m.ref())) {
            if (!isAttached(relayed)) {
                continue;
            }
            if (!relayed.searching) {
                if (m.generation() == null && from.equals(relayed.owner)) {
                    scheduleSearch(relayed);
                }
            } else if (relayed.pendingCandidates.remove(from)) {
                boolean isNewerOwner =
                        m.generation() != null
                                && (relayed.bestLocated == null
                                        || m.epoch().fences(relayed.bestLocated.epoch()));
                relayed.bestLocated = isNewerOwner ? m : relayed.bestLocated;
                if (relayed.pendingCandidates.isEmpty()
                        && (relayed.bestLocated != null || relayed.generation == null)) {
                    completeSearch(relayed);
                }
            }
        }
    }

    void onOwned(BuddyMessage.Owned m) {
        for (RelayedCaller relayed : callersOf(m.ref())) {
            boolean isNewer =
                    relayed.followedEpoch == null || m.epoch().fences(relayed.followedEpoch);
            if (m.generation().equals(relayed.generation) && isNewer) {
                followOwner(relayed, m.epoch());
            }
        }
    }

    void onRelay(BuddyMessage.Relay m) {
        RelayedCaller relayed = callers.get(m.caller());
        if (relayed == null || relayed.searching || !m.generation().equals(relayed.generation)) {
            return;
        }
        boolean stale = relayed.epoch != null && relayed.epoch.fences(m.epoch());
        if (stale) {
            return;
        }
        relayed.heardAt = stripe.now;
        relayed.lastOwnerContactAt = stripe.now;
        boolean sharesPrefix =
                m.epoch().equals(relayed.epoch)
                        || (Objects.equals(m.basisEpoch(), relayed.epoch)
                                && m.basisOffset() == relayed.offset);
        if (!sharesPrefix || m.from() > relayed.offset) {
            renewAfterGap(relayed);
            return;
        }
        relayed.epoch = m.epoch();
        relayed.owner = m.epoch().owner();
        deliver(relayed, m);
    }

    void onDiverged(BuddyMessage.Diverged m) {
        RelayedCaller relayed = callers.get(m.caller());
        if (relayed != null && m.generation().equals(relayed.generation)) {
            finish(relayed, ResultCode.POSITION_LOST, "the rest of this answer is lost");
        }
    }

    void tick() {
        for (RelayedCaller relayed : List.copyOf(callers.values())) {
            long renewalMillis = stripe.settings.relayRenewal();
            if (!isAttached(relayed)) {
                continue;
            }
            if (relayed.searching) {
                if (stripe.now - relayed.searchStartedAt > stripe.settings.lookupTimeout()) {
                    completeSearch(relayed);
                }
            } else if (stripe.now - relayed.heardAt
                    > MAX_SILENT_RENEWAL_INTERVALS * renewalMillis) {
                locateOwner(relayed);
            } else if (stripe.now - relayed.renewedAt > renewalMillis) {
                subscribe(relayed);
            }
        }
    }

    void finish(RelayedCaller relayed, ResultCode code, String detail) {
        callers.remove(relayed.caller);
        stripe.emit(
                new GenerationEffect.Finish(
                        relayed.caller, new Outcome(code, detail), relayed.offset));
    }

    private void completeSearch(RelayedCaller relayed) {
        BuddyMessage.Located found = relayed.bestLocated;
        long searchMillis = stripe.now - relayed.lastOwnerContactAt;
        if (found == null) {
            handleNotFound(relayed);
        } else if (searchMillis
                > FOUND_OWNER_DEADLINE_FACTOR * stripe.settings.reconnectDeadline()) {
            finish(
                    relayed,
                    ResultCode.GENERATION_LOST,
                    "the owner of this answer cannot be reached");
        } else if (!found.fingerprint().equals(relayed.spec.fingerprint())) {
            finish(
                    relayed,
                    ResultCode.KEY_REUSED,
                    "the idempotency key belongs to a request with another body");
        } else if (relayed.generation != null && !relayed.generation.equals(found.generation())) {
            if (relayed.offset > 0) {
                finish(
                        relayed,
                        ResultCode.POSITION_LOST,
                        "the idempotency key now refers to another answer");
            } else {
                relayed.generation = found.generation();
                relayed.epoch = null;
                followOwner(relayed, found.epoch());
            }
        } else {
            relayed.generation = found.generation();
            followOwner(relayed, found.epoch());
        }
    }

    private void handleNotFound(RelayedCaller relayed) {
        boolean keepSearching =
                relayed.generation != null
                        && stripe.now - relayed.lastOwnerContactAt
                                < stripe.settings.reconnectDeadline();
        if (keepSearching && stripe.peers.hasPeers()) {
            locateOwner(relayed);
            return;
        }
        callers.remove(relayed.caller);
        onUnknownRequest.accept(relayed);
    }

    private void deliver(RelayedCaller relayed, BuddyMessage.Relay m) {
        int overlap = relayed.offset - m.from();
        if (overlap < m.run().size()) {
            TokenRun newTokens = m.run().from(overlap);
            relayed.offset += newTokens.size();
            Position newPosition = new Position(relayed.generation, relayed.epoch, relayed.offset);
            stripe.emit(new GenerationEffect.Deliver(relayed.caller, newTokens, newPosition));
        }
        if (m.outcome() != null && m.from() + m.run().size() == relayed.offset) {
            callers.remove(relayed.caller);
            stripe.emit(new GenerationEffect.Finish(relayed.caller, m.outcome(), relayed.offset));
            stripe.send(
                    relayed.owner,
                    new BuddyMessage.Unsubscribe(
                            relayed.spec.ref(), relayed.generation, relayed.caller));
        }
    }

    /** Schedules the next search no later than one lookup timeout from now. */
    private void scheduleSearch(RelayedCaller relayed) {
        long maxSilenceMillis = MAX_SILENT_RENEWAL_INTERVALS * stripe.settings.relayRenewal();
        relayed.heardAt =
                Math.min(
                        relayed.heardAt,
                        stripe.now - maxSilenceMillis + stripe.settings.lookupTimeout());
    }

    private void renewAfterGap(RelayedCaller relayed) {
        if (stripe.now - relayed.renewedAt >= MIN_RENEWAL_INTERVAL_AFTER_GAP_MILLIS) {
            subscribe(relayed);
        }
    }

    private void subscribe(RelayedCaller relayed) {
        relayed.renewedAt = stripe.now;
        stripe.send(
                relayed.owner,
                new BuddyMessage.Subscribe(
                        relayed.spec.ref(),
                        relayed.generation,
                        relayed.caller,
                        relayed.epoch,
                        relayed.offset));
    }

    /** Returns whether a caller is still attached; handling other callers can remove callers. */
    private boolean isAttached(RelayedCaller relayed) {
        return callers.get(relayed.caller) == relayed;
    }

    private List<RelayedCaller> callersOf(RequestRef ref) {
        return callers.values().stream().filter(relayed -> relayed.spec.ref().equals(ref)).toList();
    }
}
