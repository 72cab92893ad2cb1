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

/**
 * Runs the attempts of owned generations: requests slots, follows the streams, detects lost
 * attempts and resumes their generations.
 */
final class AttemptRunner {
    private final Stripe stripe;
    private final Replicator replicator;
    private final SilenceDetector silenceDetector;
    private final RecoveryQueue recovery;
    private final Map<EndpointId, Set<GenerationId>> runningByEndpoint = new LinkedHashMap<>();

    AttemptRunner(Stripe stripe, Delivery delivery) {
        this.stripe = stripe;
        this.replicator = new Replicator(stripe, delivery, this::onCopyOpened);
        this.silenceDetector = new SilenceDetector(stripe.settings);
        this.recovery = new RecoveryQueue(stripe.settings.recoveryConcurrency());
    }

    Replicator replicator() {
        return replicator;
    }

    void onSlotGranted(GenerationInput.SlotGranted in) {
        OwnedGeneration g = findWaitingForSlot(in.generation(), in.attempt());
        if (g == null) {
            stripe.emit(new GenerationEffect.WithdrawSlot(in.generation(), in.attempt()));
            return;
        }
        g.phase = Phase.RUNNING;
        g.endpoint = in.endpoint();
        g.attemptEpoch = g.epoch;
        g.attemptStartedAt = stripe.now;
        g.lastTokenAt = stripe.now;
        g.hasFirstToken = false;
        g.slotRefusedSince = OwnedGeneration.NEVER;
        runningByEndpoint.computeIfAbsent(g.endpoint, e -> new LinkedHashSet<>()).add(g.id());
        stripe.emit(
                new GenerationEffect.StartAttempt(
                        g.spec,
                        g.epoch,
                        g.attempt,
                        g.endpoint,
                        g.journal.run(0, g.journal.length())));
        replicator.replicate(g);
    }

    void onSlotRefused(GenerationInput.SlotRefused in) {
        OwnedGeneration g = findWaitingForSlot(in.generation(), in.attempt());
        if (g == null) {
            return;
        }
        boolean hasNoTokensOrFailures = g.journal.length() == 0 && g.failures == 0;
        boolean noEndpoint = in.failure().code() == ResultCode.NO_ENDPOINT;
        if (noEndpoint && in.otherVersion() != null && !g.mayHaveDeliveredTokens) {
            restartOnVersion(g, in.otherVersion().equals(g.spec.model()) ? null : in);
            return;
        }
        if (g.slotRefusedSince == OwnedGeneration.NEVER) {
            g.slotRefusedSince = stripe.now;
        }
        boolean waitExpired = stripe.now - g.slotRefusedSince >= stripe.settings.versionWait();
        if ((hasNoTokensOrFailures && !noEndpoint) || waitExpired) {
            endGeneration(g, refusalOutcome(g, in.failure(), hasNoTokensOrFailures));
            return;
        }
        recovery.release(g.id());
        queueResumption(g, stripe.now + stripe.settings.retryPause());
    }

    void onChunk(GenerationInput.Chunk in) {
        OwnedGeneration g = stripe.owned.get(in.generation());
        if (g == null
                || g.phase != Phase.RUNNING
                || !stripe.checks.isCurrentAttempt(in.attempt(), g.attempt)) {
            return;
        }
        SafetyChecks.ChunkFit fit = stripe.checks.classifyChunk(g.journal, in.offset(), in.run());
        if (fit != SafetyChecks.ChunkFit.ACCEPT) {
            failAttempt(g, fit == SafetyChecks.ChunkFit.GAP ? AttemptEnd.GAP : AttemptEnd.MISMATCH);
            return;
        }
        TokenRun newTokens = stripe.checks.newTokens(g.journal, in.offset(), in.run());
        boolean endsWithinJournal =
                in.end() != null && in.offset() + in.run().size() < g.journal.length();
        if (endsWithinJournal) {
            failAttempt(g, AttemptEnd.MISMATCH);
            return;
        }
        if (!newTokens.isEmpty() || in.end() != null) {
            recordProgress(g);
        }
        g.journal.append(newTokens);
        if (in.end() != null) {
            endGeneration(g, in.end());
        } else if (!newTokens.isEmpty()) {
            replicator.replicate(g);
        }
    }

    void onAttemptFailed(GenerationInput.AttemptFailed in) {
        OwnedGeneration g = stripe.owned.get(in.generation());
        if (g != null && g.phase == Phase.RUNNING && in.attempt() == g.attempt) {
            if (in.cause().endpointLost()) {
                stripe.emit(
                        new GenerationEffect.EndpointLost(
                                g.endpoint, List.of(g.spec.fingerprint()), false));
            }
            failAttempt(g, in.cause());
        }
    }

    void onEndpointSilent(GenerationInput.EndpointSilent in) {
        for (GenerationId id :
                List.copyOf(runningByEndpoint.getOrDefault(in.endpoint(), Set.of()))) {
            OwnedGeneration g = stripe.owned.get(id);
            if (!g.hasFirstToken) {
                failAttempt(g, AttemptEnd.SILENT);
            }
        }
    }

    void onSuspend(GenerationInput.Suspend in) {
        OwnedGeneration g = stripe.owned.get(in.generation());
        if (g != null && g.phase == Phase.RUNNING) {
            failAttempt(g, AttemptEnd.SUSPENDED);
        }
    }

    /** Ends a generation; its callers receive the outcome once the buddy has acknowledged it. */
    void endGeneration(OwnedGeneration g, Outcome outcome) {
        stopWork(g, AttemptEnd.FINISHED);
        g.phase = Phase.DONE;
        g.doneAt = stripe.now;
        g.journal.setOutcome(outcome);
        replicator.replicate(g);
    }

    /** Stops the running attempt, the wait for a slot or the wait for a resumption. */
    void stopWork(OwnedGeneration g, AttemptEnd cause) {
        if (g.phase == Phase.WAITING_SLOT) {
            stripe.emit(new GenerationEffect.WithdrawSlot(g.id(), g.attempt));
        }
        endAttempt(g, cause);
        recovery.remove(g.id());
    }

    /** Queues a generation to resume from its journal. */
    void resumeFromJournal(OwnedGeneration g) {
        if (g.lostAt == OwnedGeneration.NEVER) {
            g.lostAt = stripe.now;
        }
        queueResumption(g, stripe.now);
    }

    void resetSilence() {
        silenceDetector.resetSilence(stripe.now);
        stripe.owned.values().forEach(g -> g.lastTokenAt = stripe.now);
    }

    /**
     * Fails attempts at silent endpoints and stalled attempts, then resumes waiting generations.
     */
    void tick() {
        for (EndpointId endpoint : silenceDetector.silentEndpoints(stripe.now)) {
            failAttemptsAt(endpoint);
        }
        for (OwnedGeneration g : stripe.owned.values()) {
            if (g.phase == Phase.RUNNING) {
                checkProgress(g);
            }
            if (g.phase != Phase.DONE) {
                parkIfUnsubscribed(g);
            }
            replicator.tick(g);
        }
        resumeWaiting();
    }

    private void failAttemptsAt(EndpointId endpoint) {
        List<OwnedGeneration> lost = new ArrayList<>();
        for (GenerationId id : runningByEndpoint.getOrDefault(endpoint, Set.of())) {
            lost.add(stripe.owned.get(id));
        }
        List<Fingerprint> fingerprints = lost.stream().map(g -> g.spec.fingerprint()).toList();
        stripe.emit(new GenerationEffect.EndpointLost(endpoint, fingerprints, true));
        lost.forEach(g -> failAttempt(g, AttemptEnd.SILENT));
    }

    private void checkProgress(OwnedGeneration g) {
        if (!g.hasFirstToken) {
            if (stripe.now - g.attemptStartedAt > stripe.settings.firstToken()) {
                failAttempt(g, AttemptEnd.NO_FIRST_TOKEN);
            }
        } else if (stripe.now - g.lastTokenAt > silenceDetector.stallLimit(g.endpoint)) {
            failAttempt(g, AttemptEnd.STALLED);
        }
    }

    private void parkIfUnsubscribed(OwnedGeneration g) {
        if (!g.subscribers.isEmpty()) {
            g.unsubscribedSince = OwnedGeneration.NEVER;
        } else if (g.unsubscribedSince == OwnedGeneration.NEVER) {
            g.unsubscribedSince = stripe.now;
        } else if (g.phase != Phase.PARKED
                && stripe.now - g.unsubscribedSince > stripe.settings.orphanGrace()) {
            stopWork(g, AttemptEnd.ABANDONED);
            g.phase = Phase.PARKED;
            g.doneAt = stripe.now;
        }
    }

    private void onCopyOpened(OwnedGeneration g) {
        if (g.phase == Phase.OPENING) {
            if (g.journal.length() == 0 && g.failures == 0) {
                requestSlot(g, false);
            } else {
                resumeFromJournal(g);
                resumeWaiting();
            }
        }
    }

    private void failAttempt(OwnedGeneration g, AttemptEnd cause) {
        EndpointId endpoint = g.endpoint;
        endAttempt(g, cause);
        if (g.lostAt == OwnedGeneration.NEVER) {
            g.lostAt = stripe.now;
        }
        if (cause != AttemptEnd.SUSPENDED) {
            g.failures++;
            g.failedEndpoints.add(endpoint);
        }
        if (cause.endpointLost()) {
            g.lostEndpoints++;
        }
        if (g.failures >= stripe.settings.maxAttempts()) {
            endGeneration(g, new Outcome(ResultCode.ATTEMPTS_EXHAUSTED, "last attempt: " + cause));
            return;
        }
        queueResumption(g, stripe.now + pauseBefore(g, cause));
        resumeWaiting();
    }

    private long pauseBefore(OwnedGeneration g, AttemptEnd cause) {
        if (cause.endpointLost() && g.lostEndpoints > 1) {
            return stripe.settings.suspectHold();
        }
        return cause == AttemptEnd.REFUSED ? stripe.settings.retryPause() : 0;
    }

    private void queueResumption(OwnedGeneration g, long notBefore) {
        g.phase = Phase.WAITING_RESUMPTION;
        long since = g.lostAt == OwnedGeneration.NEVER ? stripe.now : g.lostAt;
        recovery.add(g.id(), since, notBefore);
    }

    private void resumeWaiting() {
        GenerationId id = recovery.pollNext(stripe.now);
        while (id != null) {
            requestSlot(stripe.owned.get(id), true);
            id = recovery.pollNext(stripe.now);
        }
    }

    private void requestSlot(OwnedGeneration g, boolean resumed) {
        g.attempt++;
        g.phase = Phase.WAITING_SLOT;
        stripe.emit(
                new GenerationEffect.RequestSlot(
                        g.spec,
                        g.attempt,
                        g.journal.length(),
                        Set.copyOf(g.failedEndpoints),
                        resumed));
    }

    private void endAttempt(OwnedGeneration g, AttemptEnd cause) {
        recovery.release(g.id());
        if (g.phase != Phase.RUNNING) {
            return;
        }
        if (g.hasFirstToken) {
            silenceDetector.recordStreamEnd(g.endpoint);
        }
        Set<GenerationId> runningThere = runningByEndpoint.get(g.endpoint);
        runningThere.remove(g.id());
        if (runningThere.isEmpty()) {
            runningByEndpoint.remove(g.endpoint);
        }
        stripe.emit(
                new GenerationEffect.EndAttempt(
                        g.id(), g.attemptEpoch, g.attempt, g.endpoint, cause));
        g.phase = Phase.WAITING_RESUMPTION;
        g.endpoint = null;
        g.hasFirstToken = false;
    }

    private void recordProgress(OwnedGeneration g) {
        if (g.hasFirstToken) {
            silenceDetector.recordToken(g.endpoint, stripe.now - g.lastTokenAt, stripe.now);
        } else {
            silenceDetector.recordFirstToken(g.endpoint, stripe.now);
            g.hasFirstToken = true;
            recovery.release(g.id());
        }
        g.lastTokenAt = stripe.now;
        if (g.lostAt != OwnedGeneration.NEVER) {
            int recomputed = g.spec.promptTokens() + g.journal.length();
            stripe.emit(new GenerationEffect.Resumed(g.id(), stripe.now - g.lostAt, recomputed));
            g.lostAt = OwnedGeneration.NEVER;
        }
    }

    private void restartOnVersion(OwnedGeneration g, GenerationInput.SlotRefused in) {
        recovery.release(g.id());
        if (in != null) {
            g.journal.truncate(0);
            g.committedTokens = 0;
            g.spec = g.spec.withModel(in.otherVersion());
            replicator.replaceBuddy(g);
        }
        queueResumption(g, stripe.now);
        resumeWaiting();
    }

    private Outcome refusalOutcome(
            OwnedGeneration g, Failure failure, boolean hasNoTokensOrFailures) {
        if (hasNoTokensOrFailures || failure.code() != ResultCode.NO_ENDPOINT) {
            return new Outcome(failure.code(), failure.detail());
        }
        return new Outcome(
                ResultCode.VERSION_LOST,
                "no endpoint runs %s after %d tokens"
                        .formatted(g.spec.model(), g.journal.length()));
    }

    private OwnedGeneration findWaitingForSlot(GenerationId id, int attempt) {
        OwnedGeneration g = stripe.owned.get(id);
        boolean waits = g != null && g.phase == Phase.WAITING_SLOT && g.attempt == attempt;
        return waits ? g : null;
    }
}
