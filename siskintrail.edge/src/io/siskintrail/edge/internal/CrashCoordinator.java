package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.crash.CrashAnalysis;
import io.siskintrail.internal.traffic.crash.CrashEffect;
import io.siskintrail.internal.traffic.crash.CrashInput;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Finds, together with the other edges, requests that crash the endpoints that run them: tells the
 * other edges what an endpoint that died had not begun to answer, and refuses the requests that
 * {@link CrashAnalysis} blames. Confined to the event loop.
 */
final class CrashCoordinator {
    private static final System.Logger LOG = System.getLogger(CrashCoordinator.class.getName());

    /** Time in which an endpoint may still crash from a request that was cancelled. */
    private static final long LINGER_MILLIS = 500;

    private final EventLoop loop;
    private final HostId localHost;
    private final EndpointPool pool;
    private final RegistryFollower registries;
    private final Consumer<CrashSignature> onRefused;
    private final CrashAnalysis analysis;
    private final RefusedRequests refusedRequests = new RefusedRequests();
    private final RecentCrashes recentCrashes = new RecentCrashes();
    private final Map<EndpointId, Set<RunningAttempt>> runningByEndpoint = new HashMap<>();
    private final Map<EndpointId, Set<RunningAttempt>> pendingProbes = new HashMap<>();

    /**
     * Creates the coordinator of an edge.
     *
     * @param random a source of uniformly distributed numbers from 0 to below 1
     * @param onRefused called with each signature whose requests begin to be refused
     */
    CrashCoordinator(
            EventLoop loop,
            HostId localHost,
            EndpointPool pool,
            RegistryFollower registries,
            DoubleSupplier random,
            Consumer<CrashSignature> onRefused) {
        this.loop = loop;
        this.localHost = localHost;
        this.pool = pool;
        this.registries = registries;
        this.onRefused = onRefused;
        this.analysis = new CrashAnalysis(registries::edgeCount, random);
    }

    /** Returns whether the request is refused. */
    boolean refuses(CallContext call) {
        return refusedRequests.find(call.suspect()) != null;
    }

    /** Records that an attempt was sent to its endpoint. */
    void recordSent(RunningAttempt attempt) {
        runningByEndpoint
                .computeIfAbsent(attempt.endpointId(), e -> new LinkedHashSet<>())
                .add(attempt);
    }

    /** Records that an endpoint has begun to answer a request. */
    void recordAnswered(CallContext call) {
        CrashSuspect request = call.suspect();
        step(new CrashInput.Answered(request.content(), request.parts()));
    }

    /**
     * Records that an attempt ended. One that was not answered stays a suspect for a while, because
     * the endpoint may still be about to crash.
     */
    void recordEnded(RunningAttempt attempt) {
        if (attempt.isSuspect()) {
            loop.after(LINGER_MILLIS, () -> forget(attempt));
        } else {
            forget(attempt);
        }
    }

    private void forget(RunningAttempt attempt) {
        Set<RunningAttempt> running = runningByEndpoint.get(attempt.endpointId());
        if (running == null) {
            return;
        }
        running.remove(attempt);
        if (running.isEmpty()) {
            runningByEndpoint.remove(attempt.endpointId());
        }
    }

    /**
     * Records that an attempt failed before its response was complete, and probes whether the
     * endpoint is still reachable.
     */
    void recordFailure(RunningAttempt attempt) {
        EndpointId id = attempt.endpointId();
        Set<RunningAttempt> pending = pendingProbes.get(id);
        if (pending != null) {
            pending.add(attempt);
            return;
        }
        Set<RunningAttempt> running = new LinkedHashSet<>(runningAt(id));
        running.add(attempt);
        pendingProbes.put(id, running);
        EndpointView endpoint = attempt.endpoint();
        pool.probe(endpoint.record().address(), reached -> handleProbeResult(endpoint, reached));
    }

    /** Reports an endpoint that is silent or unreachable as dead if requests were sent to it. */
    void reportDeath(EndpointView endpoint) {
        recordDeath(endpoint.record().id(), runningAt(endpoint.record().id()));
    }

    /** Applies a message about crashes from another edge or a registry. */
    void apply(RegistryMessage message) {
        if (message instanceof RegistryMessage.Death death) {
            applyDeath(death);
        } else if (message instanceof RegistryMessage.Sound sound) {
            applySound(sound);
        } else if (message instanceof RegistryMessage.Refusal refusal) {
            step(new CrashInput.Announced(refusal.signature(), refusal.millis()));
        }
    }

    /** Returns what is refused, each with the remaining time, for a registry that may not know. */
    List<RegistryMessage.Refusal> refusals() {
        return analysis.refused(EventLoop.nowMillis()).entrySet().stream()
                .map(refused -> new RegistryMessage.Refusal(refused.getKey(), refused.getValue()))
                .toList();
    }

    /** Advances the timers of the analysis. */
    void expire() {
        step(new CrashInput.Tick());
    }

    private void applyDeath(RegistryMessage.Death death) {
        if (!death.host().equals(localHost)) {
            recentCrashes.add(death.endpoint(), death.suspects());
            step(new CrashInput.Reported(death.host(), death.endpoint(), death.suspects()));
        }
    }

    private void applySound(RegistryMessage.Sound sound) {
        if (!sound.host().equals(localHost)) {
            step(new CrashInput.ReportedSound(sound.ageMillis()));
        }
    }

    private Set<RunningAttempt> runningAt(EndpointId id) {
        return runningByEndpoint.getOrDefault(id, Set.of());
    }

    private void handleProbeResult(EndpointView endpoint, boolean reached) {
        Set<RunningAttempt> running = pendingProbes.remove(endpoint.record().id());
        if (!reached && running != null) {
            endpoint.health().recordUnreachable(EventLoop.nowMillis());
            recordDeath(endpoint.record().id(), running);
        }
    }

    private void recordDeath(EndpointId endpoint, Set<RunningAttempt> running) {
        if (running.stream().noneMatch(RunningAttempt::isSent)) {
            return;
        }
        LogEvent.info(LOG, "endpoint.died")
                .with("endpoint", endpoint)
                .with("running", running.size())
                .with("contents", RunningAttempt.describe(running))
                .write();
        List<CrashSuspect> suspects =
                running.stream()
                        .filter(RunningAttempt::isSuspect)
                        .map(RunningAttempt::request)
                        .distinct()
                        .toList();
        recentCrashes.add(endpoint, suspects);
        step(new CrashInput.Crashed(endpoint, suspects));
    }

    private void step(CrashInput input) {
        analysis.step(EventLoop.nowMillis(), input).forEach(this::apply);
    }

    private void apply(CrashEffect effect) {
        if (effect instanceof CrashEffect.ReportCrash report) {
            registries.sendToRelay(
                    new RegistryMessage.Death(localHost, report.endpoint(), report.suspects()));
        } else if (effect instanceof CrashEffect.ReportSound sound) {
            registries.sendToRelay(new RegistryMessage.Sound(localHost, sound.ageMillis()));
        } else if (effect instanceof CrashEffect.Announce announce) {
            registries.sendToAll(
                    new RegistryMessage.Refusal(announce.signature(), announce.millis()));
        } else if (effect instanceof CrashEffect.SignatureRefused refused) {
            applyRefused(refused.signature(), refused.on());
        } else if (effect instanceof CrashEffect.Evaluate evaluate) {
            loop.after(evaluate.delayMillis(), this::expire);
        }
    }

    private void applyRefused(CrashSignature signature, boolean on) {
        refusedRequests.set(signature, on, recentCrashes.describeThoseOf(signature));
        if (on) {
            loop.execute(() -> onRefused.accept(signature));
        }
    }
}
