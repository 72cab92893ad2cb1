package io.siskintrail.internal.generation;

import io.siskintrail.internal.generation.OwnedGeneration.Phase;
import io.siskintrail.internal.generation.OwnedGeneration.Sink;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.StateMachine;
import java.util.List;

/** Decides about all generations of one stripe of a router. */
public final class GenerationMachine implements StateMachine<GenerationInput, GenerationEffect> {
    private static final char RESTART_MARK = '~';
    private static final int RADIX = 36;

    private final Stripe stripe;
    private final Delivery delivery;
    private final AttemptRunner attempts;
    private final Copier copier;
    private final Holder holder;
    private final Relays relays;
    private long lastTick = OwnedGeneration.NEVER;
    private boolean drained;

    /**
     * Makes an empty stripe.
     *
     * @param settings the bounds
     * @param self this router
     * @param incarnation differs from that of every earlier process on this host, and is higher
     * @param index the index of the stripe in this router
     */
    public GenerationMachine(
            GenerationSettings settings, HostInfo self, long incarnation, int index) {
        this(settings, self, incarnation, index, new Guards());
    }

    GenerationMachine(
            GenerationSettings settings,
            HostInfo self,
            long incarnation,
            int index,
            Guards guards) {
        stripe = new Stripe(settings, self, incarnation, index, guards);
        delivery = new Delivery(stripe);
        attempts = new AttemptRunner(stripe, delivery);
        copier = attempts.copier();
        relays = new Relays(stripe, this::unknown);
        holder = new Holder(stripe, copier, this::yieldTo, this::takenOver);
    }

    @Override
    public List<GenerationEffect> step(long nowMillis, GenerationInput input) {
        stripe.now = nowMillis;
        if (input instanceof GenerationInput.Chunk in) {
            attempts.onChunk(in);
        } else if (input instanceof GenerationInput.Message in) {
            if (stripe.peers.heard(in.from(), in.incarnation(), stripe.now)) {
                onMessage(in.from(), in.message());
            }
        } else if (input instanceof GenerationInput.Tick) {
            tick();
        } else {
            onRare(input);
        }
        return stripe.takeEffects();
    }

    /** Returns the number of generations that this stripe owns and that are not over. */
    public long running() {
        return stripe.owned.values().stream().filter(g -> !g.isDone()).count();
    }

    private void onRare(GenerationInput input) {
        if (input instanceof GenerationInput.Attach in) {
            attach(in);
        } else if (input instanceof GenerationInput.Detach in) {
            stripe.owned.values().forEach(g -> delivery.detach(g, null, in.caller()));
            relays.detach(in.caller());
        } else if (input instanceof GenerationInput.SlotGranted in) {
            attempts.onGranted(in);
        } else if (input instanceof GenerationInput.SlotRefused in) {
            attempts.onRefused(in);
        } else if (input instanceof GenerationInput.AttemptFailed in) {
            attempts.onFailed(in);
        } else if (input instanceof GenerationInput.EndpointSilent in) {
            attempts.onSilent(in);
        } else if (input instanceof GenerationInput.Suspend in) {
            attempts.onSuspend(in);
        } else if (input instanceof GenerationInput.Routers in) {
            stripe.peers.set(in.hosts());
        } else if (input instanceof GenerationInput.RouterDown in) {
            stripe.peers.markDown(in.host());
        } else if (input instanceof GenerationInput.Quarantined in) {
            quarantine(in);
        } else if (input instanceof GenerationInput.Drain in) {
            stripe.drainDeadline = in.deadlineMillis();
        }
    }

    private void onMessage(HostId from, BuddyMessage message) {
        if (message instanceof BuddyMessage.Copy m) {
            holder.onCopy(from, m);
        } else if (message instanceof BuddyMessage.Ack m) {
            copier.onAck(from, m);
        } else if (message instanceof BuddyMessage.Open m) {
            holder.onOpen(from, m);
        } else if (message instanceof BuddyMessage.NotHeld m) {
            copier.onNotHeld(from, m);
        } else if (message instanceof BuddyMessage.Owned m) {
            holder.onOwned(m);
            relays.onOwned(m);
        } else if (message instanceof BuddyMessage.Conflict m) {
            onConflict(from, m);
        } else if (message instanceof BuddyMessage.Release m) {
            holder.onRelease(m);
        } else if (message instanceof BuddyMessage.Handover m) {
            holder.onHandover(m);
        } else if (message instanceof BuddyMessage.Probe m) {
            stripe.send(from, new BuddyMessage.ProbeAck(m.stripe()));
        } else {
            onRelayMessage(from, message);
        }
    }

    private void onRelayMessage(HostId from, BuddyMessage message) {
        if (message instanceof BuddyMessage.Relay m) {
            relays.onRelay(m);
        } else if (message instanceof BuddyMessage.Subscribe m) {
            onSubscribe(from, m);
        } else if (message instanceof BuddyMessage.Unsubscribe m) {
            OwnedGeneration g = stripe.owned.get(m.generation());
            if (g != null) {
                delivery.detach(g, from, m.caller());
            }
        } else if (message instanceof BuddyMessage.Diverged m) {
            relays.onDiverged(m);
        } else if (message instanceof BuddyMessage.Locate m) {
            onLocate(from, m);
        } else if (message instanceof BuddyMessage.Located m) {
            relays.onLocated(from, m);
        }
    }

    private void attach(GenerationInput.Attach in) {
        RelayedCaller r = new RelayedCaller(in.caller(), in.spec(), in.after(), stripe.now);
        if (stripe.quarantined.contains(in.spec().fingerprint())) {
            relays.finish(r, ResultCode.REQUEST_QUARANTINED, "this content lost two endpoints");
            return;
        }
        GenerationId known = stripe.byRef.get(in.spec().ref());
        if (known != null) {
            join(r, known);
        } else if (in.keyed()) {
            relays.search(r);
        } else {
            unknown(r);
        }
    }

    private void join(RelayedCaller r, GenerationId known) {
        OwnedGeneration g = stripe.owned.get(known);
        HeldCopy copy = stripe.held.get(known);
        if (g == null && (copy.isDone() || holder.ownerIsGone(copy))) {
            g = holder.takeOver(copy);
        }
        GenerationSpec spec = g != null ? g.spec : copy.spec;
        boolean other = r.generation != null && !r.generation.equals(known);
        if (!spec.fingerprint().equals(r.spec.fingerprint())) {
            relays.finish(r, ResultCode.KEY_REUSED, "the key names a request with another body");
        } else if (other && r.offset > 0) {
            relays.finish(r, ResultCode.POSITION_LOST, "the key names another answer by now");
        } else if (g != null) {
            joinOwned(r, g);
        } else {
            r.generation = known;
            relays.follow(r, copy.epoch);
        }
    }

    private void joinOwned(RelayedCaller r, OwnedGeneration g) {
        if (!g.journal.continues(r.epoch, r.offset)) {
            relays.finish(r, ResultCode.POSITION_LOST, "the rest of this answer is lost");
            return;
        }
        g.deliveredAny |= r.offset > 0;
        delivery.attach(g, r.caller, r.offset);
        if (g.phase == Phase.PARKED) {
            attempts.resume(g);
        }
    }

    private void unknown(RelayedCaller r) {
        GenerationId known = stripe.byRef.get(r.spec.ref());
        if (known != null) {
            join(r, known);
        } else if (r.offset > 0) {
            relays.finish(r, ResultCode.GENERATION_LOST, "no router knows this answer any more");
        } else if (stripe.isDraining() && r.generation == null) {
            relays.finish(r, ResultCode.NOT_RUN_SHUTTING_DOWN, "the host is stopping");
        } else {
            startOwn(r);
        }
    }

    private void startOwn(RelayedCaller r) {
        OwnerEpoch epoch = new OwnerEpoch(1, stripe.self.id(), stripe.incarnation);
        Journal journal = new Journal();
        journal.startEpoch(epoch);
        GenerationSpec spec = r.generation == null ? r.spec : r.spec.withId(freshId(r));
        OwnedGeneration g = new OwnedGeneration(spec, journal, epoch);
        stripe.owned.put(g.id(), g);
        stripe.byRef.put(g.ref(), g.id());
        delivery.attach(g, r.caller, 0);
        copier.start(g);
    }

    /** Returns an id for another start of a request, of which nothing was delivered. */
    private GenerationId freshId(RelayedCaller r) {
        String first = r.spec.id().value();
        int mark = first.indexOf(RESTART_MARK);
        String base = mark < 0 ? first : first.substring(0, mark);
        String process = stripe.self.id() + "." + Long.toString(stripe.incarnation, RADIX);
        return new GenerationId(base + RESTART_MARK + process + "." + stripe.now);
    }

    private void takenOver(OwnedGeneration g) {
        for (RelayedCaller r : relays.take(g.ref())) {
            join(r, g.id());
        }
        if (stripe.quarantined.contains(g.spec.fingerprint()) && !g.isDone()) {
            attempts.end(g, quarantinedOutcome());
        }
    }

    /** Stops to own {@code g}; its callers follow the owner of {@code epoch}. */
    private void yieldTo(OwnedGeneration g, GenerationId successor, OwnerEpoch epoch) {
        attempts.stopWork(g, AttemptEnd.ABANDONED);
        stripe.owned.remove(g.id());
        stripe.byRef.remove(g.ref(), g.id());
        if (successor.equals(g.id())) {
            stripe.raiseFence(g.id(), epoch);
        }
        for (Sink sink : List.copyOf(g.sinks)) {
            if (!sink.isLocal()) {
                stripe.send(sink.host, new BuddyMessage.Owned(g.ref(), successor, epoch));
            } else {
                redirect(g, sink, successor, epoch);
            }
        }
    }

    private void redirect(OwnedGeneration g, Sink sink, GenerationId successor, OwnerEpoch epoch) {
        Position after = sink.next == 0 ? null : new Position(successor, g.epoch, sink.next);
        RelayedCaller r = new RelayedCaller(sink.caller, g.spec, after, stripe.now);
        r.generation = successor;
        if (stripe.isPastDrainDeadline()) {
            relays.finish(r, ResultCode.GENERATION_MOVED, "the host is stopping");
        } else {
            relays.follow(r, epoch);
        }
    }

    private void onConflict(HostId from, BuddyMessage.Conflict m) {
        OwnedGeneration g = stripe.owned.get(m.refused());
        if (g == null || !from.equals(g.buddy)) {
            return;
        }
        boolean ownLoop = m.epoch().owner().equals(stripe.self.id());
        if (g.committed > 0 || g.committedEnd || ownLoop) {
            g.refusedBuddies.add(from);
            copier.replaceBuddy(g);
        } else if (!m.fingerprint().equals(g.spec.fingerprint())) {
            attempts.stopWork(g, AttemptEnd.ABANDONED);
            stripe.owned.remove(g.id());
            stripe.byRef.remove(g.ref(), g.id());
            for (Sink sink : g.sinks) {
                Outcome reused =
                        new Outcome(
                                ResultCode.KEY_REUSED, "the key names a request with another body");
                stripe.emit(new GenerationEffect.Finish(sink.caller, reused, 0));
            }
        } else {
            yieldTo(g, m.running(), m.epoch());
        }
    }

    private void onSubscribe(HostId from, BuddyMessage.Subscribe m) {
        OwnedGeneration g = stripe.owned.get(m.generation());
        HeldCopy copy = stripe.held.get(m.generation());
        if (g == null && copy != null && (copy.isDone() || holder.ownerIsGone(copy))) {
            g = holder.takeOver(copy);
        }
        if (g != null) {
            g.deliveredAny |= m.offset() > 0;
            delivery.subscribe(g, from, m);
            if (g.phase == Phase.PARKED && !g.sinks.isEmpty()) {
                attempts.resume(g);
            }
            return;
        }
        OwnerEpoch owner = copy != null ? copy.epoch : stripe.fence(m.generation());
        boolean useful =
                owner != null
                        && !owner.owner().equals(from)
                        && !owner.owner().equals(stripe.self.id())
                        && !stripe.peers.isReplaced(owner);
        if (useful) {
            stripe.send(from, new BuddyMessage.Owned(m.ref(), m.generation(), owner));
        } else {
            stripe.send(from, new BuddyMessage.Located(m.ref(), null, null, null));
        }
    }

    private void onLocate(HostId from, BuddyMessage.Locate m) {
        GenerationId id = stripe.byRef.get(m.ref());
        OwnedGeneration g = id == null ? null : stripe.owned.get(id);
        HeldCopy copy = id == null ? null : stripe.held.get(id);
        if (copy != null) {
            boolean restarted = copy.epoch.owner().equals(from);
            if (copy.isDone() || restarted || holder.ownerIsGone(copy)) {
                g = holder.takeOver(copy);
            } else {
                copy.askers.add(from);
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

    private void quarantine(GenerationInput.Quarantined in) {
        if (!in.on()) {
            stripe.quarantined.remove(in.fingerprint());
            return;
        }
        stripe.quarantined.add(in.fingerprint());
        for (OwnedGeneration g : List.copyOf(stripe.owned.values())) {
            if (!g.isDone() && g.spec.fingerprint().equals(in.fingerprint())) {
                attempts.end(g, quarantinedOutcome());
            }
        }
    }

    private static Outcome quarantinedOutcome() {
        return new Outcome(ResultCode.REQUEST_QUARANTINED, "this content lost two endpoints");
    }

    private void tick() {
        boolean paused =
                lastTick != OwnedGeneration.NEVER
                        && stripe.now - lastTick > stripe.settings.pauseGap();
        lastTick = stripe.now;
        if (paused) {
            stripe.peers.forgive(stripe.now);
            attempts.forgive();
        }
        stripe.owned.values().forEach(delivery::tick);
        attempts.tick();
        holder.tick();
        relays.tick();
        expire();
        if (stripe.isDraining()) {
            drain();
        }
    }

    private void expire() {
        stripe.expireFences();
        stripe.owned
                .values()
                .removeIf(
                        g -> {
                            boolean over = g.isDone() || g.phase == Phase.PARKED;
                            boolean old = stripe.now - g.doneAt > stripe.settings.retention();
                            boolean expired = over && old && g.sinks.isEmpty();
                            if (expired) {
                                stripe.byRef.remove(g.ref(), g.id());
                            }
                            return expired;
                        });
    }

    private void drain() {
        for (OwnedGeneration g : List.copyOf(stripe.owned.values())) {
            boolean mayMove =
                    g.isFullyAcked() && (!g.hasLocalCaller() || stripe.isPastDrainDeadline());
            boolean due = stripe.now - g.handoverSentAt > stripe.settings.retransmit();
            if (!g.isDone() && mayMove && due) {
                g.handoverSentAt = stripe.now;
                stripe.send(g.buddy, new BuddyMessage.Handover(g.ref(), g.id(), g.epoch));
            }
        }
        if (!drained && running() == 0 && relays.isEmpty()) {
            drained = true;
            stripe.emit(new GenerationEffect.Drained());
        }
    }
}
