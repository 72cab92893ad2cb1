package io.siskintrail.internal.generation;

import io.siskintrail.internal.generation.OwnedGeneration.Sink;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.List;

/** Hands acknowledged tokens to the callers of a generation, here and at other routers. */
final class Delivery {
    private static final int RENEWALS_PER_LEASE = 6;

    private final Stripe stripe;

    Delivery(Stripe stripe) {
        this.stripe = stripe;
    }

    /** Attaches a caller of this router that has the first {@code offset} tokens. */
    void attach(OwnedGeneration g, long caller, int offset) {
        g.sinks.add(new Sink(caller, null, offset));
        g.orphanSince = OwnedGeneration.NEVER;
        flush(g);
    }

    /** Attaches a caller of another router, or renews its subscription. */
    void subscribe(OwnedGeneration g, HostId from, BuddyMessage.Subscribe m) {
        if (!g.journal.continues(m.epoch(), m.offset())) {
            stripe.send(from, new BuddyMessage.Diverged(m.ref(), g.id(), m.caller()));
            return;
        }
        Sink sink = find(g, from, m.caller());
        if (sink == null) {
            sink = new Sink(m.caller(), from, m.offset());
            g.sinks.add(sink);
            g.orphanSince = OwnedGeneration.NEVER;
        }
        sink.next = m.offset();
        sink.basisEpoch = m.epoch();
        sink.basisOffset = m.offset();
        sink.renewedAt = stripe.now;
        if (sink.next >= g.committed && !isOver(g, sink)) {
            relay(g, sink, TokenRun.EMPTY, null);
        }
        flush(g);
    }

    /** Removes the caller of {@code host}; null for a caller of this router. */
    void detach(OwnedGeneration g, HostId host, long caller) {
        g.sinks.remove(find(g, host, caller));
    }

    /** Delivers what is acknowledged and not yet delivered. */
    void flush(OwnedGeneration g) {
        List<Sink> over = new ArrayList<>();
        TokenRun shared = null;
        int sharedFrom = -1;
        for (Sink sink : g.sinks) {
            if (sink.next < g.committed) {
                if (sharedFrom != sink.next) {
                    sharedFrom = sink.next;
                    shared = g.journal.run(sink.next, g.committed);
                }
                deliver(g, sink, shared);
            }
            if (isOver(g, sink)) {
                finish(g, sink);
                over.add(sink);
            }
        }
        g.sinks.removeAll(over);
    }

    void tick(OwnedGeneration g) {
        long lease = RENEWALS_PER_LEASE * stripe.settings.relayRenewal();
        g.sinks.removeIf(s -> !s.isLocal() && stripe.now - s.renewedAt > lease);
    }

    private void deliver(OwnedGeneration g, Sink sink, TokenRun run) {
        g.deliveredAny = true;
        if (sink.isLocal()) {
            Position after = new Position(g.id(), g.epoch, g.committed);
            stripe.emit(new GenerationEffect.Deliver(sink.caller, run, after));
        } else {
            boolean last = g.committedEnd && g.committed == g.journal.length();
            relay(g, sink, run, last ? g.journal.outcome() : null);
        }
        sink.next = g.committed;
    }

    private void finish(OwnedGeneration g, Sink sink) {
        Outcome outcome = g.journal.outcome();
        if (sink.isLocal()) {
            stripe.emit(new GenerationEffect.Finish(sink.caller, outcome, g.journal.length()));
        } else {
            relay(g, sink, TokenRun.EMPTY, outcome);
        }
    }

    private void relay(OwnedGeneration g, Sink sink, TokenRun run, Outcome outcome) {
        stripe.send(
                sink.host,
                new BuddyMessage.Relay(
                        g.ref(),
                        g.id(),
                        g.epoch,
                        sink.caller,
                        sink.basisEpoch,
                        sink.basisOffset,
                        sink.next,
                        run,
                        outcome));
    }

    private static boolean isOver(OwnedGeneration g, Sink sink) {
        return g.committedEnd && sink.next >= g.journal.length();
    }

    private static Sink find(OwnedGeneration g, HostId host, long caller) {
        for (Sink sink : g.sinks) {
            boolean sameHost = host == null ? sink.isLocal() : host.equals(sink.host);
            if (sameHost && sink.caller == caller) {
                return sink;
            }
        }
        return null;
    }
}
