package io.siskintrail.internal.generation;

import io.siskintrail.internal.generation.OwnedGeneration.Subscriber;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.List;

/** Delivers committed tokens to the callers of a generation at this and at other routers. */
final class Delivery {
    /** Renewal intervals after which a remote subscription that was not renewed ends. */
    private static final int RENEWALS_PER_LEASE = 6;

    private final Stripe stripe;

    Delivery(Stripe stripe) {
        this.stripe = stripe;
    }

    /** Attaches a caller of this router that already has the first {@code offset} tokens. */
    void attach(OwnedGeneration g, long caller, int offset) {
        g.subscribers.add(new Subscriber(caller, null, offset));
        g.unsubscribedSince = OwnedGeneration.NEVER;
        flush(g);
    }

    /**
     * Attaches a caller of another router or renews the subscription of that caller. Sends Diverged
     * when the caller's tokens may not be a prefix of the journal.
     */
    void subscribe(OwnedGeneration g, HostId from, BuddyMessage.Subscribe m) {
        if (!g.journal.sharesPrefix(m.epoch(), m.offset())) {
            stripe.send(from, new BuddyMessage.Diverged(m.ref(), g.id(), m.caller()));
            return;
        }
        Subscriber subscriber = findSubscriber(g, from, m.caller());
        if (subscriber == null) {
            subscriber = new Subscriber(m.caller(), from, m.offset());
            g.subscribers.add(subscriber);
            g.unsubscribedSince = OwnedGeneration.NEVER;
        }
        subscriber.nextOffset = m.offset();
        subscriber.basisEpoch = m.epoch();
        subscriber.basisOffset = m.offset();
        subscriber.renewedAt = stripe.now;
        if (subscriber.nextOffset >= g.committedTokens && !isFinished(g, subscriber)) {
            relay(g, subscriber, TokenRun.EMPTY, null);
        }
        flush(g);
    }

    /** Removes a caller; {@code host} is its router, null for a caller of this router. */
    void detach(OwnedGeneration g, HostId host, long caller) {
        g.subscribers.remove(findSubscriber(g, host, caller));
    }

    /** Sends each subscriber the committed tokens not yet sent, then the committed outcome. */
    void flush(OwnedGeneration g) {
        List<Subscriber> finished = new ArrayList<>();
        TokenRun cachedRun = null;
        int cachedFrom = -1;
        for (Subscriber subscriber : g.subscribers) {
            if (subscriber.nextOffset < g.committedTokens) {
                if (cachedFrom != subscriber.nextOffset) {
                    cachedFrom = subscriber.nextOffset;
                    cachedRun = g.journal.run(subscriber.nextOffset, g.committedTokens);
                }
                deliver(g, subscriber, cachedRun);
            }
            if (isFinished(g, subscriber)) {
                finish(g, subscriber);
                finished.add(subscriber);
            }
        }
        g.subscribers.removeAll(finished);
    }

    /** Removes callers of other routers whose subscription was not renewed in time. */
    void tick(OwnedGeneration g) {
        long leaseMillis = RENEWALS_PER_LEASE * stripe.settings.relayRenewal();
        g.subscribers.removeIf(s -> !s.isLocal() && stripe.now - s.renewedAt > leaseMillis);
    }

    private void deliver(OwnedGeneration g, Subscriber subscriber, TokenRun run) {
        g.mayHaveDeliveredTokens = true;
        if (subscriber.isLocal()) {
            Position newPosition = new Position(g.id(), g.epoch, g.committedTokens);
            stripe.emit(new GenerationEffect.Deliver(subscriber.caller, run, newPosition));
        } else {
            boolean carriesOutcome = g.committedEnd && g.committedTokens == g.journal.length();
            relay(g, subscriber, run, carriesOutcome ? g.journal.outcome() : null);
        }
        subscriber.nextOffset = g.committedTokens;
    }

    private void finish(OwnedGeneration g, Subscriber subscriber) {
        Outcome outcome = g.journal.outcome();
        if (subscriber.isLocal()) {
            stripe.emit(
                    new GenerationEffect.Finish(subscriber.caller, outcome, g.journal.length()));
        } else {
            relay(g, subscriber, TokenRun.EMPTY, outcome);
        }
    }

    private void relay(OwnedGeneration g, Subscriber subscriber, TokenRun run, Outcome outcome) {
        stripe.send(
                subscriber.host,
                new BuddyMessage.Relay(
                        g.ref(),
                        g.id(),
                        g.epoch,
                        subscriber.caller,
                        subscriber.basisEpoch,
                        subscriber.basisOffset,
                        subscriber.nextOffset,
                        run,
                        outcome));
    }

    private static boolean isFinished(OwnedGeneration g, Subscriber subscriber) {
        return g.committedEnd && subscriber.nextOffset >= g.journal.length();
    }

    private static Subscriber findSubscriber(OwnedGeneration g, HostId host, long caller) {
        for (Subscriber subscriber : g.subscribers) {
            boolean sameHost = host == null ? subscriber.isLocal() : host.equals(subscriber.host);
            if (sameHost && subscriber.caller == caller) {
                return subscriber;
            }
        }
        return null;
    }
}
