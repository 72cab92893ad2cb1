package io.siskintrail.internal.generation;

import io.siskintrail.internal.generation.OwnedGeneration.Phase;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs the attempts of owned generations: slot, stream, detection of a loss, resumption. */
final class AttemptRunner {
    private final Stripe stripe;
    private final Copier copier;
    private final EndpointWatch watch;
    private final RecoveryQueue recovery;
    private final Map<EndpointId, Set<GenerationId>> running = new LinkedHashMap<>();

    AttemptRunner(Stripe stripe, Delivery delivery) {
        this.stripe = stripe;
        this.copier = new Copier(stripe, delivery, this::copyOpened);
        this.watch = new EndpointWatch(stripe.settings);
        this.recovery = new RecoveryQueue(stripe.settings.recoveryConcurrency());
    }

    Copier copier() {
        return copier;
    }

    void onGranted(GenerationInput.SlotGranted in) {
        OwnedGeneration g = waitingForSlot(in.generation(), in.attempt());
        if (g == null) {
            stripe.emit(new GenerationEffect.WithdrawSlot(in.generation(), in.attempt()));
            return;
        }
        g.phase = Phase.RUNNING;
        g.endpoint = in.endpoint();
        g.attemptEpoch = g.epoch;
        g.attemptStartedAt = stripe.now;
        g.lastTokenAt = stripe.now;
        g.streaming = false;
        g.noEndpointSince = OwnedGeneration.NEVER;
        running.computeIfAbsent(g.endpoint, e -> new LinkedHashSet<>()).add(g.id());
        stripe.emit(
                new GenerationEffect.StartAttempt(
                        g.spec,
                        g.epoch,
                        g.attempt,
                        g.endpoint,
                        g.journal.run(0, g.journal.length())));
        copier.changed(g);
    }

    void onRefused(GenerationInput.SlotRefused in) {
        OwnedGeneration g = waitingForSlot(in.generation(), in.attempt());
        if (g == null) {
            return;
        }
        boolean untouched = g.journal.length() == 0 && g.failures == 0;
        boolean noEndpoint = in.failure().code() == ResultCode.NO_ENDPOINT;
        if (noEndpoint && in.otherVersion() != null && !g.deliveredAny) {
            restartAs(g, in.otherVersion().equals(g.spec.model()) ? null : in);
            return;
        }
        if (g.noEndpointSince == OwnedGeneration.NEVER) {
            g.noEndpointSince = stripe.now;
        }
        boolean waitedEnough = stripe.now - g.noEndpointSince >= stripe.settings.versionWait();
        if ((untouched && !noEndpoint) || waitedEnough) {
            end(g, refusal(g, in.failure(), untouched));
            return;
        }
        recovery.done(g.id());
        queue(g, stripe.now + stripe.settings.retryPause());
    }

    void onChunk(GenerationInput.Chunk in) {
        OwnedGeneration g = stripe.owned.get(in.generation());
        if (g == null
                || g.phase != Phase.RUNNING
                || !stripe.guards.attemptIsCurrent(in.attempt(), g.attempt)) {
            return;
        }
        Guards.Fit fit = stripe.guards.fit(g.journal, in.offset(), in.run());
        if (fit != Guards.Fit.TAKE) {
            lose(g, fit == Guards.Fit.GAP ? AttemptEnd.GAP : AttemptEnd.MISMATCH);
            return;
        }
        TokenRun fresh = stripe.guards.fresh(g.journal, in.offset(), in.run());
        boolean endsElsewhere =
                in.end() != null && in.offset() + in.run().size() < g.journal.length();
        if (endsElsewhere) {
            lose(g, AttemptEnd.MISMATCH);
            return;
        }
        if (!fresh.isEmpty() || in.end() != null) {
            progressed(g);
        }
        g.journal.append(fresh);
        if (in.end() != null) {
            end(g, in.end());
        } else if (!fresh.isEmpty()) {
            copier.changed(g);
        }
    }

    void onFailed(GenerationInput.AttemptFailed in) {
        OwnedGeneration g = stripe.owned.get(in.generation());
        if (g != null && g.phase == Phase.RUNNING && in.attempt() == g.attempt) {
            if (in.cause().endpointLost()) {
                stripe.emit(
                        new GenerationEffect.EndpointLost(
                                g.endpoint, List.of(g.spec.fingerprint()), false));
            }
            lose(g, in.cause());
        }
    }

    void onSilent(GenerationInput.EndpointSilent in) {
        for (GenerationId id : List.copyOf(running.getOrDefault(in.endpoint(), Set.of()))) {
            OwnedGeneration g = stripe.owned.get(id);
            if (!g.streaming) {
                lose(g, AttemptEnd.SILENT);
            }
        }
    }

    void onSuspend(GenerationInput.Suspend in) {
        OwnedGeneration g = stripe.owned.get(in.generation());
        if (g != null && g.phase == Phase.RUNNING) {
            lose(g, AttemptEnd.SUSPENDED);
        }
    }

    /** Ends a generation; its callers are told once the end is copied. */
    void end(OwnedGeneration g, Outcome outcome) {
        stopWork(g, AttemptEnd.FINISHED);
        g.phase = Phase.DONE;
        g.doneAt = stripe.now;
        g.journal.end(outcome);
        copier.changed(g);
    }

    /** Stops the attempt, the wait for a slot or the wait for a resumption. */
    void stopWork(OwnedGeneration g, AttemptEnd cause) {
        if (g.phase == Phase.WAITING_SLOT) {
            stripe.emit(new GenerationEffect.WithdrawSlot(g.id(), g.attempt));
        }
        endAttempt(g, cause);
        recovery.remove(g.id());
    }

    /** Queues a generation to go on from its journal. */
    void resume(OwnedGeneration g) {
        if (g.lostAt == OwnedGeneration.NEVER) {
            g.lostAt = stripe.now;
        }
        queue(g, stripe.now);
    }

    void forgive() {
        watch.forgive(stripe.now);
        stripe.owned.values().forEach(g -> g.lastTokenAt = stripe.now);
    }

    /** Looks for silent endpoints and stalled attempts, and lets waiting generations resume. */
    void tick() {
        for (EndpointId endpoint : watch.silent(stripe.now)) {
            loseAll(endpoint);
        }
        for (OwnedGeneration g : stripe.owned.values()) {
            if (g.phase == Phase.RUNNING) {
                checkProgress(g);
            }
            if (g.phase != Phase.DONE) {
                checkOrphan(g);
            }
            copier.tick(g);
        }
        pump();
    }

    private void loseAll(EndpointId endpoint) {
        List<OwnedGeneration> lost = new ArrayList<>();
        for (GenerationId id : running.getOrDefault(endpoint, Set.of())) {
            lost.add(stripe.owned.get(id));
        }
        List<Fingerprint> fingerprints = lost.stream().map(g -> g.spec.fingerprint()).toList();
        stripe.emit(new GenerationEffect.EndpointLost(endpoint, fingerprints, true));
        lost.forEach(g -> lose(g, AttemptEnd.SILENT));
    }

    private void checkProgress(OwnedGeneration g) {
        if (!g.streaming) {
            if (stripe.now - g.attemptStartedAt > stripe.settings.firstToken()) {
                lose(g, AttemptEnd.NO_FIRST_TOKEN);
            }
        } else if (stripe.now - g.lastTokenAt > watch.stallLimit(g.endpoint)) {
            lose(g, AttemptEnd.STALLED);
        }
    }

    private void checkOrphan(OwnedGeneration g) {
        if (!g.sinks.isEmpty()) {
            g.orphanSince = OwnedGeneration.NEVER;
        } else if (g.orphanSince == OwnedGeneration.NEVER) {
            g.orphanSince = stripe.now;
        } else if (g.phase != Phase.PARKED
                && stripe.now - g.orphanSince > stripe.settings.orphanGrace()) {
            stopWork(g, AttemptEnd.ABANDONED);
            g.phase = Phase.PARKED;
            g.doneAt = stripe.now;
        }
    }

    private void copyOpened(OwnedGeneration g) {
        if (g.phase == Phase.OPENING) {
            if (g.journal.length() == 0 && g.failures == 0) {
                requestSlot(g, false);
            } else {
                resume(g);
                pump();
            }
        }
    }

    private void lose(OwnedGeneration g, AttemptEnd cause) {
        EndpointId endpoint = g.endpoint;
        endAttempt(g, cause);
        if (g.lostAt == OwnedGeneration.NEVER) {
            g.lostAt = stripe.now;
        }
        if (cause != AttemptEnd.SUSPENDED) {
            g.failures++;
            g.avoid.add(endpoint);
        }
        if (cause.endpointLost()) {
            g.lostEndpoints++;
        }
        if (g.failures >= stripe.settings.maxAttempts()) {
            end(g, new Outcome(ResultCode.ATTEMPTS_EXHAUSTED, "last attempt: " + cause));
            return;
        }
        queue(g, stripe.now + pauseBefore(g, cause));
        pump();
    }

    private long pauseBefore(OwnedGeneration g, AttemptEnd cause) {
        if (cause.endpointLost() && g.lostEndpoints > 1) {
            return stripe.settings.suspectHold();
        }
        return cause == AttemptEnd.REFUSED ? stripe.settings.retryPause() : 0;
    }

    private void queue(OwnedGeneration g, long notBefore) {
        g.phase = Phase.LOST;
        long since = g.lostAt == OwnedGeneration.NEVER ? stripe.now : g.lostAt;
        recovery.add(g.id(), since, notBefore);
    }

    private void pump() {
        GenerationId id = recovery.next(stripe.now);
        while (id != null) {
            requestSlot(stripe.owned.get(id), true);
            id = recovery.next(stripe.now);
        }
    }

    private void requestSlot(OwnedGeneration g, boolean resumed) {
        g.attempt++;
        g.phase = Phase.WAITING_SLOT;
        stripe.emit(
                new GenerationEffect.RequestSlot(
                        g.spec, g.attempt, g.journal.length(), Set.copyOf(g.avoid), resumed));
    }

    private void endAttempt(OwnedGeneration g, AttemptEnd cause) {
        recovery.done(g.id());
        if (g.phase != Phase.RUNNING) {
            return;
        }
        if (g.streaming) {
            watch.ended(g.endpoint);
        }
        Set<GenerationId> here = running.get(g.endpoint);
        here.remove(g.id());
        if (here.isEmpty()) {
            running.remove(g.endpoint);
        }
        stripe.emit(
                new GenerationEffect.EndAttempt(
                        g.id(), g.attemptEpoch, g.attempt, g.endpoint, cause));
        g.phase = Phase.LOST;
        g.endpoint = null;
        g.streaming = false;
    }

    private void progressed(OwnedGeneration g) {
        if (g.streaming) {
            watch.token(g.endpoint, stripe.now - g.lastTokenAt, stripe.now);
        } else {
            watch.streaming(g.endpoint, stripe.now);
            g.streaming = true;
            recovery.done(g.id());
        }
        g.lastTokenAt = stripe.now;
        if (g.lostAt != OwnedGeneration.NEVER) {
            int recomputed = g.spec.promptTokens() + g.journal.length();
            stripe.emit(new GenerationEffect.Resumed(g.id(), stripe.now - g.lostAt, recomputed));
            g.lostAt = OwnedGeneration.NEVER;
        }
    }

    private void restartAs(OwnedGeneration g, GenerationInput.SlotRefused in) {
        recovery.done(g.id());
        if (in != null) {
            g.journal.truncate(0);
            g.committed = 0;
            g.spec = g.spec.withModel(in.otherVersion());
            copier.replaceBuddy(g);
        }
        queue(g, stripe.now);
        pump();
    }

    private Outcome refusal(OwnedGeneration g, Failure failure, boolean untouched) {
        if (untouched || failure.code() != ResultCode.NO_ENDPOINT) {
            return new Outcome(failure.code(), failure.detail());
        }
        return new Outcome(
                ResultCode.VERSION_LOST,
                "no endpoint runs %s after %d tokens"
                        .formatted(g.spec.model(), g.journal.length()));
    }

    private OwnedGeneration waitingForSlot(GenerationId id, int attempt) {
        OwnedGeneration g = stripe.owned.get(id);
        boolean waits = g != null && g.phase == Phase.WAITING_SLOT && g.attempt == attempt;
        return waits ? g : null;
    }
}
