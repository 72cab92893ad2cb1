package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Holds backup copies of other routers' generations and takes over those whose owner is gone. */
final class CopyHolder {
    private static final long IDLE_ACK_INTERVAL_MILLIS = 5_000;

    private final Stripe stripe;
    private final Replicator replicator;
    private final OwnershipLossHandler ownershipLossHandler;
    private final Consumer<OwnedGeneration> whenTakenOver;
    private final Map<HostId, Long> probedAt = new HashMap<>();

    /** Handles the loss of ownership of a generation. */
    @FunctionalInterface
    interface OwnershipLossHandler {
        /** Gives up {@code g}, which {@code epoch} now owns under the id {@code successor}. */
        void relinquish(OwnedGeneration g, GenerationId successor, OwnerEpoch epoch);
    }

    CopyHolder(
            Stripe stripe,
            Replicator replicator,
            OwnershipLossHandler ownershipLossHandler,
            Consumer<OwnedGeneration> whenTakenOver) {
        this.stripe = stripe;
        this.replicator = replicator;
        this.ownershipLossHandler = ownershipLossHandler;
        this.whenTakenOver = whenTakenOver;
    }

    void onOpen(HostId from, BuddyMessage.Open m) {
        GenerationId id = m.spec().id();
        if (refuseFenced(from, m.ref(), id, m.epoch()) || refuseConflicting(from, m)) {
            return;
        }
        HeldCopy copy = stripe.held.get(id);
        boolean reordered =
                copy != null
                        && copy.epoch.equals(m.epoch())
                        && copy.journal.length() > m.run().size();
        if (!reordered) {
            copy = new HeldCopy(m, stripe.now);
            stripe.held.put(id, copy);
            stripe.generationByRef.put(m.ref(), id);
        }
        acknowledge(from, copy);
    }

    void onCopy(HostId from, BuddyMessage.Copy m) {
        if (refuseFenced(from, m.ref(), m.generation(), m.epoch())) {
            return;
        }
        HeldCopy copy = stripe.held.get(m.generation());
        if (copy == null || !copy.epoch.equals(m.epoch())) {
            stripe.send(from, new BuddyMessage.NotHeld(m.ref(), m.generation(), m.epoch()));
            return;
        }
        if (m.from() <= copy.journal.length()) {
            append(copy, m);
        }
        acknowledge(from, copy);
    }

    void onRelease(BuddyMessage.Release m) {
        HeldCopy copy = stripe.held.get(m.generation());
        if (copy != null && copy.epoch.equals(m.epoch())) {
            removeCopy(copy);
        }
    }

    void onHandover(BuddyMessage.Handover m) {
        HeldCopy copy = stripe.held.get(m.generation());
        if (copy != null && copy.epoch.equals(m.epoch())) {
            takeOver(copy);
        }
    }

    /** Records the new owner of a generation; fences lower epochs here. */
    void onOwned(BuddyMessage.Owned m) {
        OwnedGeneration g = stripe.owned.get(m.generation());
        if (g != null) {
            if (stripe.checks.isFenced(m.epoch(), g.epoch)) {
                ownershipLossHandler.relinquish(g, g.id(), m.epoch());
            }
            return;
        }
        HeldCopy copy = stripe.held.get(m.generation());
        if (copy != null && m.epoch().fences(copy.epoch)) {
            removeCopy(copy);
        }
        stripe.raiseFence(m.generation(), m.epoch());
    }

    /** Makes this router the owner of a held copy, under a higher epoch. */
    OwnedGeneration takeOver(HeldCopy copy) {
        OwnerEpoch epoch = copy.epoch.next(stripe.self.id(), stripe.incarnation);
        copy.journal.startEpoch(epoch);
        OwnedGeneration g = new OwnedGeneration(copy.spec, copy.journal, epoch);
        g.attempt = copy.attempt;
        g.failures = copy.failures;
        g.mayHaveDeliveredTokens = copy.journal.length() > 0;
        if (copy.isDone()) {
            g.phase = OwnedGeneration.Phase.DONE;
            g.doneAt = stripe.now;
        } else {
            g.lostAt = stripe.now;
        }
        stripe.held.remove(g.id());
        stripe.owned.put(g.id(), g);
        if (copy.endpoint != null) {
            stripe.emit(
                    new GenerationEffect.CancelForeign(
                            g.id(), copy.epoch, copy.attempt, copy.endpoint));
        }
        announceOwner(g, copy);
        whenTakenOver.accept(g);
        replicator.openCopy(g);
        return g;
    }

    /** Returns whether the owner of a copy is down, was replaced or is silent for too long. */
    boolean ownerIsGone(HeldCopy copy) {
        HostId owner = copy.epoch.owner();
        return stripe.peers.isDown(owner)
                || stripe.peers.isReplaced(copy.epoch)
                || stripe.peers.silenceMillis(owner, stripe.now) > stripe.settings.takeoverAfter();
    }

    void tick() {
        List<HeldCopy> orphaned = new ArrayList<>();
        List<HeldCopy> expired = new ArrayList<>();
        for (HeldCopy copy : stripe.held.values()) {
            if (copy.isDone()) {
                if (stripe.now - copy.touchedAt > stripe.settings.retention()) {
                    expired.add(copy);
                }
            } else if (ownerIsGone(copy)) {
                orphaned.add(copy);
            } else {
                probeIfSilent(copy.epoch.owner());
                acknowledgeIdleCopy(copy);
            }
        }
        expired.forEach(this::removeCopy);
        orphaned.forEach(this::takeOver);
    }

    /** Acknowledges an idle copy again, so that an owner that gave it up sends Release. */
    private void acknowledgeIdleCopy(HeldCopy copy) {
        if (stripe.now - copy.touchedAt > IDLE_ACK_INTERVAL_MILLIS) {
            copy.touchedAt = stripe.now;
            acknowledge(copy.epoch.owner(), copy);
        }
    }

    private void probeIfSilent(HostId owner) {
        long pause = stripe.settings.probeAfter();
        long last = probedAt.getOrDefault(owner, stripe.now - pause);
        boolean silent = stripe.peers.silenceMillis(owner, stripe.now) >= pause;
        if (silent && stripe.now - last >= pause / 2) {
            probedAt.put(owner, stripe.now);
            stripe.send(owner, new BuddyMessage.Probe(stripe.index));
        }
    }

    private void append(HeldCopy copy, BuddyMessage.Copy m) {
        int overlap = copy.journal.length() - m.from();
        if (overlap <= m.run().size()) {
            copy.journal.append(m.run().from(overlap));
            copy.attempt = m.attempt();
            copy.endpoint = m.endpoint();
            if (m.outcome() != null) {
                copy.journal.setOutcome(m.outcome());
            }
        }
        copy.touchedAt = stripe.now;
    }

    private void acknowledge(HostId to, HeldCopy copy) {
        stripe.send(
                to,
                new BuddyMessage.Ack(
                        copy.spec.ref(),
                        copy.spec.id(),
                        copy.epoch,
                        copy.journal.length(),
                        copy.isDone()));
    }

    /**
     * Refuses a message from a fenced owner and returns true. Otherwise gives up the generation if
     * this router owns it, and returns false.
     */
    private boolean refuseFenced(HostId from, RequestRef ref, GenerationId id, OwnerEpoch epoch) {
        OwnedGeneration g = stripe.owned.get(id);
        HeldCopy copy = stripe.held.get(id);
        OwnerEpoch known = stripe.fence(id);
        if (g != null) {
            known = g.epoch;
        } else if (copy != null && (known == null || copy.epoch.fences(known))) {
            known = copy.epoch;
        }
        if (known != null && stripe.checks.isFenced(known, epoch)) {
            stripe.send(from, new BuddyMessage.Owned(ref, id, known));
            return true;
        }
        if (g != null) {
            ownershipLossHandler.relinquish(g, id, epoch);
        }
        return false;
    }

    private boolean refuseConflicting(HostId from, BuddyMessage.Open m) {
        GenerationId other = stripe.generationByRef.get(m.ref());
        if (other == null || other.equals(m.spec().id())) {
            return false;
        }
        HeldCopy copy = stripe.held.get(other);
        OwnedGeneration g = stripe.owned.get(other);
        if (copy != null && copy.epoch.owner().equals(from)) {
            if (copy.epoch.incarnation() == m.epoch().incarnation()) {
                removeCopy(copy);
                return false;
            }
            g = takeOver(copy);
        }
        if (g != null && yieldsTo(g, m)) {
            ownershipLossHandler.relinquish(g, m.spec().id(), m.epoch());
            return false;
        }
        OwnerEpoch epoch = g != null ? g.epoch : copy.epoch;
        Fingerprint fingerprint = g != null ? g.spec.fingerprint() : copy.spec.fingerprint();
        stripe.send(
                from, new BuddyMessage.Conflict(m.ref(), m.spec().id(), other, epoch, fingerprint));
        return true;
    }

    /**
     * Returns whether {@code g} must yield to another start of its request: the lower id wins. Two
     * routers that are each other's buddy compare the same ids, so exactly one of them yields.
     */
    private static boolean yieldsTo(OwnedGeneration g, BuddyMessage.Open m) {
        boolean nothingCommitted = g.committedTokens == 0 && !g.committedEnd;
        return nothingCommitted
                && g.spec.fingerprint().equals(m.spec().fingerprint())
                && m.spec().id().compareTo(g.id()) < 0;
    }

    private void announceOwner(OwnedGeneration g, HeldCopy copy) {
        BuddyMessage owned = new BuddyMessage.Owned(g.ref(), g.id(), g.epoch);
        copy.interestedRouters.addAll(stripe.peers.candidates(g.ref()));
        copy.interestedRouters.add(copy.epoch.owner());
        copy.interestedRouters.forEach(host -> stripe.send(host, owned));
    }

    private void removeCopy(HeldCopy copy) {
        stripe.held.remove(copy.spec.id());
        stripe.generationByRef.remove(copy.spec.ref(), copy.spec.id());
    }
}
