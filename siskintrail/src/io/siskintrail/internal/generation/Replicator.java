package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.function.Consumer;

/**
 * Replicates owned generations to their buddies before callers receive the tokens. Copies are
 * pipelined; tokens that the buddy has acknowledged are committed. While no buddy is reachable,
 * tokens are committed immediately, and a crash of this router then loses them.
 */
final class Replicator {
    private static final int BUDDY_SEARCH_RETRY_PAUSES = 5;

    private final Stripe stripe;
    private final Delivery delivery;
    private final Consumer<OwnedGeneration> whenReady;

    /**
     * Creates the replicator.
     *
     * @param whenReady called when the buddy acknowledges a copy, or without a buddy after each
     *     commit; must ignore generations that it has started already
     */
    Replicator(Stripe stripe, Delivery delivery, Consumer<OwnedGeneration> whenReady) {
        this.stripe = stripe;
        this.delivery = delivery;
        this.whenReady = whenReady;
    }

    /** Chooses a buddy and opens a copy there; commits without a copy when none is reachable. */
    void openCopy(OwnedGeneration g) {
        g.buddy = stripe.peers.chooseBuddy(g.ref(), g.refusedBuddies, stripe.now);
        g.copyOpened = false;
        g.ackedTokens = 0;
        g.ackedEnd = false;
        g.unackedSince = stripe.now;
        if (g.buddy == null) {
            commitWithoutBuddy(g);
        } else {
            stripe.peers.silenceMillis(g.buddy, stripe.now);
            sendOpen(g);
        }
    }

    /** Replicates new tokens, the outcome or the new endpoint of the attempt. */
    void replicate(OwnedGeneration g) {
        if (g.buddy == null) {
            commitWithoutBuddy(g);
        } else if (g.copyOpened) {
            sendCopy(g, g.sentTokens);
            commit(
                    g,
                    stripe.checks.deliverableTokens(g.ackedTokens, g.journal.length()),
                    g.ackedEnd);
        }
    }

    void onAck(HostId from, BuddyMessage.Ack m) {
        OwnedGeneration g = findOwned(from, m.generation(), m.epoch());
        if (g == null) {
            releaseStaleCopy(from, m);
            return;
        }
        long incarnation = stripe.peers.incarnation(from);
        if (g.copyOpened && incarnation != g.buddyIncarnation) {
            replaceBuddy(g);
            return;
        }
        g.copyOpened = true;
        g.buddyIncarnation = incarnation;
        g.ackedTokens = Math.max(g.ackedTokens, m.length());
        g.ackedEnd |= m.ended();
        g.unackedSince = g.isFullyAcked() ? OwnedGeneration.NEVER : stripe.now;
        if (g.sentTokens < g.journal.length() || (!g.sentEnd && g.journal.outcome() != null)) {
            sendCopy(g, g.sentTokens);
        }
        commit(g, stripe.checks.deliverableTokens(g.ackedTokens, g.journal.length()), g.ackedEnd);
        whenReady.accept(g);
    }

    void onNotHeld(HostId from, BuddyMessage.NotHeld m) {
        OwnedGeneration g = findOwned(from, m.generation(), m.epoch());
        if (g != null && g.copyOpened) {
            replaceBuddy(g);
        } else if (g != null) {
            sendOpen(g);
        }
    }

    /** Replaces the buddy and starts a new epoch, which fences a takeover from the old copy. */
    void replaceBuddy(OwnedGeneration g) {
        if (g.buddy != null) {
            stripe.send(g.buddy, new BuddyMessage.Release(g.ref(), g.id(), g.epoch));
        }
        startNewEpoch(g);
        openCopy(g);
    }

    void startNewEpoch(OwnedGeneration g) {
        g.epoch = g.epoch.next(stripe.self.id(), stripe.incarnation);
        g.journal.startEpoch(g.epoch);
    }

    void tick(OwnedGeneration g) {
        if (g.buddy == null) {
            retryBuddySearch(g);
        } else if (stripe.peers.isDown(g.buddy)) {
            replaceBuddy(g);
        } else if (g.unackedSince != OwnedGeneration.NEVER) {
            retransmitOrReplace(g);
        }
    }

    /** Sends Release again to a router that still acknowledges a copy this router gave up. */
    private void releaseStaleCopy(HostId from, BuddyMessage.Ack m) {
        OwnerEpoch epoch = m.epoch();
        boolean sentByThisProcess =
                epoch.owner().equals(stripe.self.id()) && epoch.incarnation() == stripe.incarnation;
        if (sentByThisProcess) {
            stripe.send(from, new BuddyMessage.Release(m.ref(), m.generation(), epoch));
        }
    }

    private void retransmitOrReplace(OwnedGeneration g) {
        long timeout = stripe.settings.buddyTimeout();
        boolean buddyIsSilent = stripe.peers.silenceMillis(g.buddy, stripe.now) > timeout;
        if (buddyIsSilent && stripe.now - g.unackedSince > timeout) {
            stripe.peers.markSuspected(g.buddy, stripe.now + stripe.settings.suspicion());
            replaceBuddy(g);
        } else if (stripe.now - g.copySentAt > stripe.settings.retransmit()) {
            if (g.copyOpened) {
                sendCopy(g, g.ackedTokens);
            } else {
                sendOpen(g);
            }
        }
    }

    private void retryBuddySearch(OwnedGeneration g) {
        if (stripe.now < g.nextBuddySearchAt || !stripe.peers.hasPeers()) {
            return;
        }
        g.nextBuddySearchAt = stripe.now + BUDDY_SEARCH_RETRY_PAUSES * stripe.settings.retryPause();
        if (stripe.peers.chooseBuddy(g.ref(), g.refusedBuddies, stripe.now) != null) {
            replaceBuddy(g);
        }
    }

    private void commitWithoutBuddy(OwnedGeneration g) {
        g.unackedSince = OwnedGeneration.NEVER;
        commit(g, g.journal.length(), g.journal.outcome() != null);
        whenReady.accept(g);
    }

    private void commit(OwnedGeneration g, int length, boolean ended) {
        g.committedTokens = Math.max(g.committedTokens, length);
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
        g.sentTokens = g.journal.length();
        g.sentEnd = g.journal.outcome() != null;
        g.copySentAt = stripe.now;
        if (g.unackedSince == OwnedGeneration.NEVER && !g.isFullyAcked()) {
            g.unackedSince = stripe.now;
        }
    }

    private OwnedGeneration findOwned(HostId from, GenerationId id, OwnerEpoch epoch) {
        OwnedGeneration g = stripe.owned.get(id);
        boolean matches = g != null && from.equals(g.buddy) && epoch.equals(g.epoch);
        return matches ? g : null;
    }
}
