package io.siskintrail.internal.generation;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/** Follows generations of other routers for callers of this one, and looks for unknown requests. */
final class Relays {
    private static final int SILENT_RENEWALS = 3;
    private static final int FOUND_DEADLINES = 3;
    private static final long GAP_RENEWAL_MILLIS = 20;

    private final Stripe stripe;
    private final Consumer<RelayedCaller> whenUnknown;
    private final Map<Long, RelayedCaller> callers = new LinkedHashMap<>();

    /** Calls {@code whenUnknown} for a caller whose request no candidate knows. */
    Relays(Stripe stripe, Consumer<RelayedCaller> whenUnknown) {
        this.stripe = stripe;
        this.whenUnknown = whenUnknown;
    }

    boolean isEmpty() {
        return callers.isEmpty();
    }

    /** Asks the candidates who knows the request. */
    void search(RelayedCaller r) {
        callers.put(r.caller, r);
        r.searching = true;
        r.searchedAt = stripe.now;
        r.found = null;
        r.unanswered.clear();
        r.unanswered.addAll(stripe.peers.candidates(r.spec.ref()));
        r.unanswered.forEach(host -> stripe.send(host, new BuddyMessage.Locate(r.spec.ref())));
        if (r.unanswered.isEmpty() && r.generation == null) {
            decide(r);
        }
    }

    /** Subscribes at {@code epoch}'s owner. */
    void follow(RelayedCaller r, OwnerEpoch at) {
        callers.put(r.caller, r);
        r.searching = false;
        r.owner = at.owner();
        r.followed = at;
        r.heardAt = stripe.now;
        subscribe(r);
    }

    void detach(long caller) {
        RelayedCaller r = callers.remove(caller);
        if (r != null && r.owner != null) {
            stripe.send(r.owner, new BuddyMessage.Unsubscribe(r.spec.ref(), r.generation, caller));
        }
    }

    /** Removes and returns the callers of a request, which is owned here now. */
    List<RelayedCaller> take(RequestRef ref) {
        List<RelayedCaller> taken = new ArrayList<>();
        callers.values()
                .removeIf(r -> r.spec.ref().equals(ref) && r.generation != null && taken.add(r));
        return taken;
    }

    void onLocated(HostId from, BuddyMessage.Located m) {
        for (RelayedCaller r : of(m.ref())) {
            if (!isHere(r)) {
                continue;
            }
            if (!r.searching) {
                if (m.generation() == null && from.equals(r.owner)) {
                    searchSoon(r);
                }
            } else if (r.unanswered.remove(from)) {
                boolean better =
                        m.generation() != null
                                && (r.found == null || m.epoch().fences(r.found.epoch()));
                r.found = better ? m : r.found;
                if (r.unanswered.isEmpty() && (r.found != null || r.generation == null)) {
                    decide(r);
                }
            }
        }
    }

    void onOwned(BuddyMessage.Owned m) {
        for (RelayedCaller r : of(m.ref())) {
            boolean news = r.followed == null || m.epoch().fences(r.followed);
            if (m.generation().equals(r.generation) && news) {
                follow(r, m.epoch());
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
        take(r, m);
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
            if (!isHere(r)) {
                continue;
            }
            if (r.searching) {
                if (stripe.now - r.searchedAt > stripe.settings.lookupTimeout()) {
                    decide(r);
                }
            } else if (stripe.now - r.heardAt > SILENT_RENEWALS * renewal) {
                search(r);
            } else if (stripe.now - r.renewedAt > renewal) {
                subscribe(r);
            }
        }
    }

    void finish(RelayedCaller r, ResultCode code, String detail) {
        callers.remove(r.caller);
        stripe.emit(new GenerationEffect.Finish(r.caller, new Outcome(code, detail), r.offset));
    }

    private void decide(RelayedCaller r) {
        BuddyMessage.Located found = r.found;
        long searched = stripe.now - r.searchingSince;
        if (found == null) {
            decideUnknown(r);
        } else if (searched > FOUND_DEADLINES * stripe.settings.reconnectDeadline()) {
            finish(r, ResultCode.GENERATION_LOST, "the owner of this answer cannot be reached");
        } else if (!found.fingerprint().equals(r.spec.fingerprint())) {
            finish(r, ResultCode.KEY_REUSED, "the key names a request with another body");
        } else if (r.generation != null && !r.generation.equals(found.generation())) {
            if (r.offset > 0) {
                finish(r, ResultCode.POSITION_LOST, "the key names another answer by now");
            } else {
                r.generation = found.generation();
                r.epoch = null;
                follow(r, found.epoch());
            }
        } else {
            r.generation = found.generation();
            follow(r, found.epoch());
        }
    }

    private void decideUnknown(RelayedCaller r) {
        boolean mayReappear =
                r.generation != null
                        && stripe.now - r.searchingSince < stripe.settings.reconnectDeadline();
        if (mayReappear && stripe.peers.hasPeers()) {
            search(r);
            return;
        }
        callers.remove(r.caller);
        whenUnknown.accept(r);
    }

    private void take(RelayedCaller r, BuddyMessage.Relay m) {
        int overlap = r.offset - m.from();
        if (overlap < m.run().size()) {
            TokenRun fresh = m.run().from(overlap);
            r.offset += fresh.size();
            Position after = new Position(r.generation, r.epoch, r.offset);
            stripe.emit(new GenerationEffect.Deliver(r.caller, fresh, after));
        }
        if (m.outcome() != null && m.from() + m.run().size() == r.offset) {
            callers.remove(r.caller);
            stripe.emit(new GenerationEffect.Finish(r.caller, m.outcome(), r.offset));
            stripe.send(
                    r.owner, new BuddyMessage.Unsubscribe(r.spec.ref(), r.generation, r.caller));
        }
    }

    /** Lets the next search start after the pause of a lookup. */
    private void searchSoon(RelayedCaller r) {
        long limit = SILENT_RENEWALS * stripe.settings.relayRenewal();
        r.heardAt = Math.min(r.heardAt, stripe.now - limit + stripe.settings.lookupTimeout());
    }

    private void renewAfterGap(RelayedCaller r) {
        if (stripe.now - r.renewedAt >= GAP_RENEWAL_MILLIS) {
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

    /** Returns false for a caller that moved on while others of its request were handled. */
    private boolean isHere(RelayedCaller r) {
        return callers.get(r.caller) == r;
    }

    private List<RelayedCaller> of(RequestRef ref) {
        return callers.values().stream().filter(r -> r.spec.ref().equals(ref)).toList();
    }
}
