package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.function.Consumer;

/**
 * Copies owned generations to their buddies ahead of delivery. Copies are pipelined; what the buddy
 * acknowledged is committed. Without any reachable buddy a generation goes on alone: its tokens are
 * committed at once, and a router death then loses them.
 */
final class Copier {
    private static final int BUDDY_SEARCH_PAUSES = 5;

    private final Stripe stripe;
    private final Delivery delivery;
    private final Consumer<OwnedGeneration> whenReady;

    /** Calls {@code whenReady} once for each generation, when its copy is open. */
    Copier(Stripe stripe, Delivery delivery, Consumer<OwnedGeneration> whenReady) {
        this.stripe = stripe;
        this.delivery = delivery;
        this.whenReady = whenReady;
    }

    /** Chooses a buddy and opens a copy there. */
    void start(OwnedGeneration g) {
        g.buddy = stripe.peers.buddyFor(g.ref(), g.refusedBuddies, stripe.now);
        g.opened = false;
        g.acked = 0;
        g.ackedEnd = false;
        g.unackedSince = stripe.now;
        if (g.buddy == null) {
            goAlone(g);
        } else {
            stripe.peers.silence(g.buddy, stripe.now);
            sendOpen(g);
        }
    }

    /** Copies what was added to the journal, or the new place of the attempt. */
    void changed(OwnedGeneration g) {
        if (g.buddy == null) {
            goAlone(g);
        } else if (g.opened) {
            sendCopy(g, g.sent);
            commit(g, stripe.guards.deliverable(g.acked, g.journal.length()), g.ackedEnd);
        }
    }

    void onAck(HostId from, BuddyMessage.Ack m) {
        OwnedGeneration g = current(from, m.generation(), m.epoch());
        if (g == null) {
            releaseLeftover(from, m);
            return;
        }
        long incarnation = stripe.peers.incarnation(from);
        if (g.opened && incarnation != g.buddyIncarnation) {
            replaceBuddy(g);
            return;
        }
        g.opened = true;
        g.buddyIncarnation = incarnation;
        g.acked = Math.max(g.acked, m.length());
        g.ackedEnd |= m.ended();
        g.unackedSince = g.isFullyAcked() ? OwnedGeneration.NEVER : stripe.now;
        if (g.sent < g.journal.length() || (!g.sentEnd && g.journal.outcome() != null)) {
            sendCopy(g, g.sent);
        }
        commit(g, stripe.guards.deliverable(g.acked, g.journal.length()), g.ackedEnd);
        whenReady.accept(g);
    }

    void onNotHeld(HostId from, BuddyMessage.NotHeld m) {
        OwnedGeneration g = current(from, m.generation(), m.epoch());
        if (g != null && g.opened) {
            replaceBuddy(g);
        } else if (g != null) {
            sendOpen(g);
        }
    }

    /** Replaces the buddy under a new epoch, so that the old copy cannot compete. */
    void replaceBuddy(OwnedGeneration g) {
        if (g.buddy != null) {
            stripe.send(g.buddy, new BuddyMessage.Release(g.ref(), g.id(), g.epoch));
        }
        newEpoch(g);
        start(g);
    }

    void newEpoch(OwnedGeneration g) {
        g.epoch = g.epoch.next(stripe.self.id(), stripe.incarnation);
        g.journal.startEpoch(g.epoch);
    }

    void tick(OwnedGeneration g) {
        if (g.buddy == null) {
            searchBuddy(g);
        } else if (stripe.peers.isDown(g.buddy)) {
            replaceBuddy(g);
        } else if (g.unackedSince != OwnedGeneration.NEVER) {
            chase(g);
        }
    }

    /** Lets a router forget a copy whose Release it missed. */
    private void releaseLeftover(HostId from, BuddyMessage.Ack m) {
        OwnerEpoch epoch = m.epoch();
        boolean ours =
                epoch.owner().equals(stripe.self.id()) && epoch.incarnation() == stripe.incarnation;
        if (ours) {
            stripe.send(from, new BuddyMessage.Release(m.ref(), m.generation(), epoch));
        }
    }

    private void chase(OwnedGeneration g) {
        long timeout = stripe.settings.buddyTimeout();
        boolean silent = stripe.peers.silence(g.buddy, stripe.now) > timeout;
        if (silent && stripe.now - g.unackedSince > timeout) {
            stripe.peers.suspect(g.buddy, stripe.now + stripe.settings.suspicion());
            replaceBuddy(g);
        } else if (stripe.now - g.copySentAt > stripe.settings.retransmit()) {
            if (g.opened) {
                sendCopy(g, g.acked);
            } else {
                sendOpen(g);
            }
        }
    }

    private void searchBuddy(OwnedGeneration g) {
        if (stripe.now < g.nextBuddySearchAt || !stripe.peers.hasPeers()) {
            return;
        }
        g.nextBuddySearchAt = stripe.now + BUDDY_SEARCH_PAUSES * stripe.settings.retryPause();
        if (stripe.peers.buddyFor(g.ref(), g.refusedBuddies, stripe.now) != null) {
            replaceBuddy(g);
        }
    }

    private void goAlone(OwnedGeneration g) {
        g.unackedSince = OwnedGeneration.NEVER;
        commit(g, g.journal.length(), g.journal.outcome() != null);
        whenReady.accept(g);
    }

    private void commit(OwnedGeneration g, int length, boolean ended) {
        g.committed = Math.max(g.committed, length);
        g.committedEnd |= ended;
        delivery.flush(g);
    }

    private void sendOpen(OwnedGeneration g) {
        int length = g.journal.length();
        stripe.send(
                g.buddy,
                new BuddyMessage.Open(
                        g.spec,
                        g.journal.lineage(),
                        g.journal.run(0, length),
                        g.journal.outcome(),
                        g.attempt,
                        g.endpoint,
                        g.failures));
        markSent(g);
    }

    private void sendCopy(OwnedGeneration g, int from) {
        stripe.send(
                g.buddy,
                new BuddyMessage.Copy(
                        g.ref(),
                        g.id(),
                        g.epoch,
                        from,
                        g.journal.run(from, g.journal.length()),
                        g.journal.outcome(),
                        g.attempt,
                        g.endpoint));
        markSent(g);
    }

    private void markSent(OwnedGeneration g) {
        g.sent = g.journal.length();
        g.sentEnd = g.journal.outcome() != null;
        g.copySentAt = stripe.now;
        if (g.unackedSince == OwnedGeneration.NEVER && !g.isFullyAcked()) {
            g.unackedSince = stripe.now;
        }
    }

    private OwnedGeneration current(HostId from, GenerationId id, OwnerEpoch epoch) {
        OwnedGeneration g = stripe.owned.get(id);
        boolean matches = g != null && from.equals(g.buddy) && epoch.equals(g.epoch);
        return matches ? g : null;
    }
}
