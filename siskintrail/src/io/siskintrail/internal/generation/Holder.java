package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Keeps the copies of other routers' generations and takes over those whose owner is gone. */
final class Holder {
    private static final long REMINDER_MILLIS = 5_000;

    private final Stripe stripe;
    private final Copier copier;
    private final Yielding yielding;
    private final Consumer<OwnedGeneration> whenTakenOver;
    private final Map<HostId, Long> probedAt = new HashMap<>();

    /** Gives up a generation that this router owned. */
    @FunctionalInterface
    interface Yielding {
        /** Stops to own {@code g}, which {@code epoch} owns now under the id {@code successor}. */
        void yield(OwnedGeneration g, GenerationId successor, OwnerEpoch epoch);
    }

    Holder(
            Stripe stripe,
            Copier copier,
            Yielding yielding,
            Consumer<OwnedGeneration> whenTakenOver) {
        this.stripe = stripe;
        this.copier = copier;
        this.yielding = yielding;
        this.whenTakenOver = whenTakenOver;
    }

    void onOpen(HostId from, BuddyMessage.Open m) {
        GenerationId id = m.spec().id();
        if (refuses(from, m.ref(), id, m.epoch()) || conflicts(from, m)) {
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
            stripe.byRef.put(m.ref(), id);
        }
        acknowledge(from, copy);
    }

    void onCopy(HostId from, BuddyMessage.Copy m) {
        if (refuses(from, m.ref(), m.generation(), m.epoch())) {
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
            forget(copy);
        }
    }

    void onHandover(BuddyMessage.Handover m) {
        HeldCopy copy = stripe.held.get(m.generation());
        if (copy != null && copy.epoch.equals(m.epoch())) {
            takeOver(copy);
        }
    }

    /** Notes that {@code epoch} owns the generation; fences lower epochs here. */
    void onOwned(BuddyMessage.Owned m) {
        OwnedGeneration g = stripe.owned.get(m.generation());
        if (g != null) {
            if (stripe.guards.isFenced(m.epoch(), g.epoch)) {
                yielding.yield(g, g.id(), m.epoch());
            }
            return;
        }
        HeldCopy copy = stripe.held.get(m.generation());
        if (copy != null && m.epoch().fences(copy.epoch)) {
            forget(copy);
        }
        stripe.raiseFence(m.generation(), m.epoch());
    }

    /** Makes this router the owner, under a higher epoch. */
    OwnedGeneration takeOver(HeldCopy copy) {
        OwnerEpoch epoch = copy.epoch.next(stripe.self.id(), stripe.incarnation);
        copy.journal.startEpoch(epoch);
        OwnedGeneration g = new OwnedGeneration(copy.spec, copy.journal, epoch);
        g.attempt = copy.attempt;
        g.failures = copy.failures;
        g.deliveredAny = copy.journal.length() > 0;
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
        announce(g, copy);
        whenTakenOver.accept(g);
        copier.start(g);
        return g;
    }

    /** Returns whether the owner of a copy is surely or probably gone. */
    boolean ownerIsGone(HeldCopy copy) {
        HostId owner = copy.epoch.owner();
        return stripe.peers.isDown(owner)
                || stripe.peers.isReplaced(copy.epoch)
                || stripe.peers.silence(owner, stripe.now) > stripe.settings.takeoverAfter();
    }

    void tick() {
        List<HeldCopy> gone = new ArrayList<>();
        List<HeldCopy> old = new ArrayList<>();
        for (HeldCopy copy : stripe.held.values()) {
            if (copy.isDone()) {
                if (stripe.now - copy.touchedAt > stripe.settings.retention()) {
                    old.add(copy);
                }
            } else if (ownerIsGone(copy)) {
                gone.add(copy);
            } else {
                probe(copy.epoch.owner());
                remind(copy);
            }
        }
        old.forEach(this::forget);
        gone.forEach(this::takeOver);
    }

    /** Acknowledges a quiet copy again, so that an owner that gave it up says so. */
    private void remind(HeldCopy copy) {
        if (stripe.now - copy.touchedAt > REMINDER_MILLIS) {
            copy.touchedAt = stripe.now;
            acknowledge(copy.epoch.owner(), copy);
        }
    }

    private void probe(HostId owner) {
        long pause = stripe.settings.probeAfter();
        long last = probedAt.getOrDefault(owner, stripe.now - pause);
        boolean silent = stripe.peers.silence(owner, stripe.now) >= pause;
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
                copy.journal.end(m.outcome());
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

    /** Refuses a fenced owner; gives up own ownership when the sender's epoch is higher. */
    private boolean refuses(HostId from, RequestRef ref, GenerationId id, OwnerEpoch epoch) {
        OwnedGeneration g = stripe.owned.get(id);
        HeldCopy copy = stripe.held.get(id);
        OwnerEpoch known = stripe.fence(id);
        if (g != null) {
            known = g.epoch;
        } else if (copy != null && (known == null || copy.epoch.fences(known))) {
            known = copy.epoch;
        }
        if (known != null && stripe.guards.isFenced(known, epoch)) {
            stripe.send(from, new BuddyMessage.Owned(ref, id, known));
            return true;
        }
        if (g != null) {
            yielding.yield(g, id, epoch);
        }
        return false;
    }

    private boolean conflicts(HostId from, BuddyMessage.Open m) {
        GenerationId other = stripe.byRef.get(m.ref());
        if (other == null || other.equals(m.spec().id())) {
            return false;
        }
        HeldCopy copy = stripe.held.get(other);
        OwnedGeneration g = stripe.owned.get(other);
        if (copy != null && copy.epoch.owner().equals(from)) {
            if (copy.epoch.incarnation() == m.epoch().incarnation()) {
                forget(copy);
                return false;
            }
            g = takeOver(copy);
        }
        if (g != null && losesTo(g, m)) {
            yielding.yield(g, m.spec().id(), m.epoch());
            return false;
        }
        OwnerEpoch epoch = g != null ? g.epoch : copy.epoch;
        Fingerprint fingerprint = g != null ? g.spec.fingerprint() : copy.spec.fingerprint();
        stripe.send(
                from, new BuddyMessage.Conflict(m.ref(), m.spec().id(), other, epoch, fingerprint));
        return true;
    }

    /**
     * Returns whether {@code g} gives way to another start of its request. Two routers that are
     * each other's buddy compare the same ids, so exactly one of them gives way.
     */
    private static boolean losesTo(OwnedGeneration g, BuddyMessage.Open m) {
        boolean nothingCommitted = g.committed == 0 && !g.committedEnd;
        return nothingCommitted
                && g.spec.fingerprint().equals(m.spec().fingerprint())
                && m.spec().id().compareTo(g.id()) < 0;
    }

    private void announce(OwnedGeneration g, HeldCopy copy) {
        BuddyMessage owned = new BuddyMessage.Owned(g.ref(), g.id(), g.epoch);
        copy.askers.addAll(stripe.peers.candidates(g.ref()));
        copy.askers.add(copy.epoch.owner());
        copy.askers.forEach(host -> stripe.send(host, owned));
    }

    private void forget(HeldCopy copy) {
        stripe.held.remove(copy.spec.id());
        stripe.byRef.remove(copy.spec.ref(), copy.spec.id());
    }
}
