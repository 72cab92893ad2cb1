package io.siskintrail.internal.generation;

import io.siskintrail.internal.generation.OwnedGeneration.Phase;
import io.siskintrail.internal.generation.OwnedGeneration.Subscriber;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.StateMachine;
import java.util.List;

/** State machine for all generations of one stripe of a router. Not thread-safe. */
public final class GenerationMachine implements StateMachine<GenerationInput, GenerationEffect> {
    private static final char RESTART_SEPARATOR = '~';
    private static final int INCARNATION_RADIX = 36;

    private final Stripe stripe;
    private final Delivery delivery;
    private final AttemptRunner attempts;
    private final Replicator replicator;
    private final CopyHolder copyHolder;
    private final RemoteSubscriptions remoteSubscriptions;
    private long lastTickAt = OwnedGeneration.NEVER;
    private boolean drainReported;

    /**
     * Creates a stripe without generations.
     *
     * @param settings timeouts and limits
     * @param self the host that this router runs on
     * @param incarnation number of this process, higher than that of every earlier process on this
     *     host
     * @param index the index of the stripe in this router
     */
    public GenerationMachine(
            GenerationSettings settings, HostInfo self, long incarnation, int index) {
        this(settings, self, incarnation, index, new SafetyChecks());
    }

    GenerationMachine(
            GenerationSettings settings,
            HostInfo self,
            long incarnation,
            int index,
            SafetyChecks checks) {
        stripe = new Stripe(settings, self, incarnation, index, checks);
        delivery = new Delivery(stripe);
        attempts = new AttemptRunner(stripe, delivery);
        replicator = attempts.replicator();
        remoteSubscriptions = new RemoteSubscriptions(stripe, this::onUnknownRequest);
        copyHolder = new CopyHolder(stripe, replicator, this::relinquish, this::onTakenOver);
    }

    @Override
    public List<GenerationEffect> step(long nowMillis, GenerationInput input) {
        stripe.now = nowMillis;
        if (input instanceof GenerationInput.Chunk in) {
            attempts.onChunk(in);
        } else if (input instanceof GenerationInput.Message in) {
            if (stripe.peers.recordMessage(in.from(), in.incarnation(), stripe.now)) {
                onMessage(in.from(), in.message());
            }
        } else if (input instanceof GenerationInput.Tick) {
            tick();
        } else {
            onOtherInput(input);
        }
        return stripe.takeEffects();
    }

    /** Returns the number of owned generations without an outcome, including parked ones. */
    public long running() {
        return stripe.owned.values().stream().filter(g -> !g.isDone()).count();
    }

    private void onOtherInput(GenerationInput input) {
        if (input instanceof GenerationInput.Attach in) {
            attach(in);
        } else if (input instanceof GenerationInput.Detach in) {
            stripe.owned.values().forEach(g -> delivery.detach(g, null, in.caller()));
            remoteSubscriptions.detach(in.caller());
        } else if (input instanceof GenerationInput.SlotGranted in) {
            attempts.onSlotGranted(in);
        } else if (input instanceof GenerationInput.SlotRefused in) {
            attempts.onSlotRefused(in);
        } else if (input instanceof GenerationInput.AttemptFailed in) {
            attempts.onAttemptFailed(in);
        } else if (input instanceof GenerationInput.EndpointSilent in) {
            attempts.onEndpointSilent(in);
        } else if (input instanceof GenerationInput.Suspend in) {
            attempts.onSuspend(in);
        } else if (input instanceof GenerationInput.Routers in) {
            stripe.peers.setPeers(in.hosts());
        } else if (input instanceof GenerationInput.RouterDown in) {
            stripe.peers.markDown(in.host());
        } else if (input instanceof GenerationInput.Quarantined in) {
            applyQuarantine(in);
        } else if (input instanceof GenerationInput.Drain in) {
            stripe.drainDeadline = in.deadlineMillis();
        }
    }

    private void onMessage(HostId from, BuddyMessage message) {
        if (message instanceof BuddyMessage.Copy m) {
            copyHolder.onCopy(from, m);
        } else if (message instanceof BuddyMessage.Ack m) {
            replicator.onAck(from, m);
        } else if (message instanceof BuddyMessage.Open m) {
            copyHolder.onOpen(from, m);
        } else if (message instanceof BuddyMessage.NotHeld m) {
            replicator.onNotHeld(from, m);
        } else if (message instanceof BuddyMessage.Owned m) {
            copyHolder.onOwned(m);
            remoteSubscriptions.onOwned(m);
        } else if (message instanceof BuddyMessage.Conflict m) {
            onConflict(from, m);
        } else if (message instanceof BuddyMessage.Release m) {
            copyHolder.onRelease(m);
        } else if (message instanceof BuddyMessage.Handover m) {
            copyHolder.onHandover(m);
        } else if (message instanceof BuddyMessage.Probe m) {
            stripe.send(from, new BuddyMessage.ProbeAck(m.stripe()));
        } else {
            onRelayMessage(from, message);
        }
    }

    private void onRelayMessage(HostId from, BuddyMessage message) {
        if (message instanceof BuddyMessage.Relay m) {
            remoteSubscriptions.onRelay(m);
        } else if (message instanceof BuddyMessage.Subscribe m) {
            onSubscribe(from, m);
        } else if (message instanceof BuddyMessage.Unsubscribe m) {
            OwnedGeneration g = stripe.owned.get(m.generation());
            if (g != null) {
                delivery.detach(g, from, m.caller());
            }
        } else if (message instanceof BuddyMessage.Diverged m) {
            remoteSubscriptions.onDiverged(m);
        } else if (message instanceof BuddyMessage.Locate m) {
            onLocate(from, m);
        } else if (message instanceof BuddyMessage.Located m) {
            remoteSubscriptions.onLocated(from, m);
        }
    }

    private void attach(GenerationInput.Attach in) {
        RelayedCaller relayed = new RelayedCaller(in.caller(), in.spec(), in.after(), stripe.now);
        if (stripe.quarantined.contains(in.spec().fingerprint())) {
            remoteSubscriptions.finish(
                    relayed,
                    ResultCode.REQUEST_QUARANTINED,
                    "at least two endpoints died while they ran this content");
            return;
        }
        GenerationId known = stripe.generationByRef.get(in.spec().ref());
        if (known != null) {
            joinGeneration(relayed, known);
        } else if (in.hasCallerKey()) {
            remoteSubscriptions.locateOwner(relayed);
        } else {
            onUnknownRequest(relayed);
        }
    }

    private void joinGeneration(RelayedCaller relayed, GenerationId known) {
        OwnedGeneration g = stripe.owned.get(known);
        HeldCopy copy = stripe.held.get(known);
        if (g == null && (copy.isDone() || copyHolder.ownerIsGone(copy))) {
            g = copyHolder.takeOver(copy);
        }
        GenerationSpec spec = g != null ? g.spec : copy.spec;
        boolean otherGeneration = relayed.generation != null && !relayed.generation.equals(known);
        if (!spec.fingerprint().equals(relayed.spec.fingerprint())) {
            remoteSubscriptions.finish(
                    relayed,
                    ResultCode.KEY_REUSED,
                    "the idempotency key belongs to a request with another body");
        } else if (otherGeneration && relayed.offset > 0) {
            remoteSubscriptions.finish(
                    relayed,
                    ResultCode.POSITION_LOST,
                    "the idempotency key now refers to another answer");
        } else if (g != null) {
            joinOwned(relayed, g);
        } else {
            relayed.generation = known;
            remoteSubscriptions.followOwner(relayed, copy.epoch);
        }
    }

    private void joinOwned(RelayedCaller relayed, OwnedGeneration g) {
        if (!g.journal.sharesPrefix(relayed.epoch, relayed.offset)) {
            remoteSubscriptions.finish(
                    relayed, ResultCode.POSITION_LOST, "the rest of this answer is lost");
            return;
        }
        g.mayHaveDeliveredTokens |= relayed.offset > 0;
        delivery.attach(g, relayed.caller, relayed.offset);
        if (g.phase == Phase.PARKED) {
            attempts.resumeFromJournal(g);
        }
    }

    private void onUnknownRequest(RelayedCaller relayed) {
        GenerationId known = stripe.generationByRef.get(relayed.spec.ref());
        if (known != null) {
            joinGeneration(relayed, known);
        } else if (relayed.offset > 0) {
            remoteSubscriptions.finish(
                    relayed,
                    ResultCode.GENERATION_LOST,
                    "no router has a copy of this answer any more");
        } else if (stripe.isDraining() && relayed.generation == null) {
            remoteSubscriptions.finish(
                    relayed, ResultCode.NOT_RUN_SHUTTING_DOWN, "the host is stopping");
        } else {
            startGeneration(relayed);
        }
    }

    private void startGeneration(RelayedCaller relayed) {
        OwnerEpoch epoch = new OwnerEpoch(1, stripe.self.id(), stripe.incarnation);
        Journal journal = new Journal();
        journal.startEpoch(epoch);
        GenerationSpec spec =
                relayed.generation == null ? relayed.spec : relayed.spec.withId(restartId(relayed));
        OwnedGeneration g = new OwnedGeneration(spec, journal, epoch);
        stripe.owned.put(g.id(), g);
        stripe.generationByRef.put(g.ref(), g.id());
        delivery.attach(g, relayed.caller, 0);
        replicator.openCopy(g);
    }

    /** Returns a new id for the restart of a request of which no token was delivered. */
    private GenerationId restartId(RelayedCaller relayed) {
        String first = relayed.spec.id().value();
        int separatorAt = first.indexOf(RESTART_SEPARATOR);
        String base = separatorAt < 0 ? first : first.substring(0, separatorAt);
        String process =
                stripe.self.id() + "." + Long.toString(stripe.incarnation, INCARNATION_RADIX);
        return new GenerationId(base + RESTART_SEPARATOR + process + "." + stripe.now);
    }

    private void onTakenOver(OwnedGeneration g) {
        for (RelayedCaller relayed : remoteSubscriptions.removeCallersOf(g.ref())) {
            joinGeneration(relayed, g.id());
        }
        if (stripe.quarantined.contains(g.spec.fingerprint()) && !g.isDone()) {
            attempts.endGeneration(g, quarantinedOutcome());
        }
    }

    /** Gives up ownership of {@code g} and redirects its callers to the owner of {@code epoch}. */
    private void relinquish(OwnedGeneration g, GenerationId successor, OwnerEpoch epoch) {
        attempts.stopWork(g, AttemptEnd.ABANDONED);
        stripe.owned.remove(g.id());
        stripe.generationByRef.remove(g.ref(), g.id());
        if (successor.equals(g.id())) {
            stripe.raiseFence(g.id(), epoch);
        }
        for (Subscriber subscriber : List.copyOf(g.subscribers)) {
            if (!subscriber.isLocal()) {
                stripe.send(subscriber.host, new BuddyMessage.Owned(g.ref(), successor, epoch));
            } else {
                redirectCaller(g, subscriber, successor, epoch);
            }
        }
    }

    private void redirectCaller(
            OwnedGeneration g, Subscriber subscriber, GenerationId successor, OwnerEpoch epoch) {
        Position after =
                subscriber.nextOffset == 0
                        ? null
                        : new Position(successor, g.epoch, subscriber.nextOffset);
        RelayedCaller relayed = new RelayedCaller(subscriber.caller, g.spec, after, stripe.now);
        relayed.generation = successor;
        if (stripe.isPastDrainDeadline()) {
            remoteSubscriptions.finish(
                    relayed, ResultCode.GENERATION_MOVED, "the host is stopping");
        } else {
            remoteSubscriptions.followOwner(relayed, epoch);
        }
    }

    private void onConflict(HostId from, BuddyMessage.Conflict m) {
        OwnedGeneration g = stripe.owned.get(m.refused());
        if (g == null || !from.equals(g.buddy)) {
            return;
        }
        boolean runningIsOwn = m.epoch().owner().equals(stripe.self.id());
        if (g.committedTokens > 0 || g.committedEnd || runningIsOwn) {
            g.refusedBuddies.add(from);
            replicator.replaceBuddy(g);
        } else if (!m.fingerprint().equals(g.spec.fingerprint())) {
            attempts.stopWork(g, AttemptEnd.ABANDONED);
            stripe.owned.remove(g.id());
            stripe.generationByRef.remove(g.ref(), g.id());
            for (Subscriber subscriber : g.subscribers) {
                Outcome reused =
                        new Outcome(
                                ResultCode.KEY_REUSED,
                                "the idempotency key belongs to a request with another body");
                stripe.emit(new GenerationEffect.Finish(subscriber.caller, reused, 0));
            }
        } else {
            relinquish(g, m.running(), m.epoch());
        }
    }

    private void onSubscribe(HostId from, BuddyMessage.Subscribe m) {
        OwnedGeneration g = stripe.owned.get(m.generation());
        HeldCopy copy = stripe.held.get(m.generation());
        if (g == null && copy != null && (copy.isDone() || copyHolder.ownerIsGone(copy))) {
            g = copyHolder.takeOver(copy);
        }
        if (g != null) {
            g.mayHaveDeliveredTokens |= m.offset() > 0;
            delivery.subscribe(g, from, m);
            if (g.phase == Phase.PARKED && !g.subscribers.isEmpty()) {
                attempts.resumeFromJournal(g);
            }
            return;
        }
        OwnerEpoch owner = copy != null ? copy.epoch : stripe.fence(m.generation());
        boolean ownerIsUsable =
                owner != null
                        && !owner.owner().equals(from)
                        && !owner.owner().equals(stripe.self.id())
                        && !stripe.peers.isReplaced(owner);
        if (ownerIsUsable) {
            stripe.send(from, new BuddyMessage.Owned(m.ref(), m.generation(), owner));
        } else {
            stripe.send(from, new BuddyMessage.Located(m.ref(), null, null, null));
        }
    }

    private void onLocate(HostId from, BuddyMessage.Locate m) {
        GenerationId id = stripe.generationByRef.get(m.ref());
        OwnedGeneration g = id == null ? null : stripe.owned.get(id);
        HeldCopy copy = id == null ? null : stripe.held.get(id);
        if (copy != null) {
            boolean restarted = copy.epoch.owner().equals(from);
            if (copy.isDone() || restarted || copyHolder.ownerIsGone(copy)) {
                g = copyHolder.takeOver(copy);
            } else {
                copy.interestedRouters.add(from);
            }
        }
        if (g != null) {
            stripe.send(
                    from, new BuddyMessage.Located(m.ref(), g.id(), g.epoch, g.spec.fingerprint()));
        } else if (copy != null) {
            stripe.send(
                    from,
                    new BuddyMessage.Located(
                            m.ref(), copy.spec.id(), copy.epoch, copy.spec.fingerprint()));
        } else {
            stripe.send(from, new BuddyMessage.Located(m.ref(), null, null, null));
        }
    }

    private void applyQuarantine(GenerationInput.Quarantined in) {
        if (!in.on()) {
            stripe.quarantined.remove(in.fingerprint());
            return;
        }
        stripe.quarantined.add(in.fingerprint());
        for (OwnedGeneration g : List.copyOf(stripe.owned.values())) {
            if (!g.isDone() && g.spec.fingerprint().equals(in.fingerprint())) {
                attempts.endGeneration(g, quarantinedOutcome());
            }
        }
    }

    private static Outcome quarantinedOutcome() {
        return new Outcome(
                ResultCode.REQUEST_QUARANTINED,
                "at least two endpoints died while they ran this content");
    }

    private void tick() {
        boolean paused =
                lastTickAt != OwnedGeneration.NEVER
                        && stripe.now - lastTickAt > stripe.settings.pauseGap();
        lastTickAt = stripe.now;
        if (paused) {
            stripe.peers.resetSilence(stripe.now);
            attempts.resetSilence();
        }
        stripe.owned.values().forEach(delivery::tick);
        attempts.tick();
        copyHolder.tick();
        remoteSubscriptions.tick();
        removeExpired();
        if (stripe.isDraining()) {
            drain();
        }
    }

    private void removeExpired() {
        stripe.expireFences();
        stripe.owned
                .values()
                .removeIf(
                        g -> {
                            boolean inactive = g.isDone() || g.phase == Phase.PARKED;
                            boolean retentionOver =
                                    stripe.now - g.doneAt > stripe.settings.retention();
                            boolean expired = inactive && retentionOver && g.subscribers.isEmpty();
                            if (expired) {
                                stripe.generationByRef.remove(g.ref(), g.id());
                            }
                            return expired;
                        });
    }

    private void drain() {
        for (OwnedGeneration g : List.copyOf(stripe.owned.values())) {
            boolean mayMove =
                    g.isFullyAcked() && (!g.hasLocalCaller() || stripe.isPastDrainDeadline());
            boolean retransmitDue = stripe.now - g.handoverSentAt > stripe.settings.retransmit();
            if (!g.isDone() && mayMove && retransmitDue) {
                g.handoverSentAt = stripe.now;
                stripe.send(g.buddy, new BuddyMessage.Handover(g.ref(), g.id(), g.epoch));
            }
        }
        if (!drainReported && running() == 0 && remoteSubscriptions.isEmpty()) {
            drainReported = true;
            stripe.emit(new GenerationEffect.Drained());
        }
    }
}
