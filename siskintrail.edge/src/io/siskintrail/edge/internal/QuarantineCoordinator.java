package io.siskintrail.edge.internal;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.Quarantine;
import io.siskintrail.internal.generation.QuarantineEffect;
import io.siskintrail.internal.generation.QuarantineInput;
import io.siskintrail.internal.traffic.CrashSignature;
import io.siskintrail.internal.traffic.CrashSuspect;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds, together with the other edges, requests that crash the endpoints that run them: reports to
 * other edges what ran on an endpoint that died, and rejects the content that {@link Quarantine}
 * blames.
 */
final class QuarantineCoordinator {
    private static final System.Logger LOG =
            System.getLogger(QuarantineCoordinator.class.getName());

    /** Maximum number of attempts that the log line of a death names. */
    private static final int MAX_LOGGED_ATTEMPTS = 16;

    private final HostId localHost;
    private final EndpointPool pool;
    private final RegistryFollower registries;
    private final Quarantine quarantine = new Quarantine();
    private final Set<Fingerprint> quarantinedContent = new HashSet<>();
    private final Map<EndpointId, Set<RunningAttempt>> runningByEndpoint = new HashMap<>();
    private final Map<EndpointId, Set<RunningAttempt>> pendingProbes = new HashMap<>();
    private final RecentCrashes recentCrashes = new RecentCrashes();
    private boolean hasDeaths;

    QuarantineCoordinator(HostId localHost, EndpointPool pool, RegistryFollower registries) {
        this.localHost = localHost;
        this.pool = pool;
        this.registries = registries;
    }

    /** Returns whether requests with this content are rejected. */
    boolean isQuarantined(Fingerprint content) {
        return quarantinedContent.contains(content);
    }

    /** Records that an attempt was sent to its endpoint. */
    void recordSent(RunningAttempt attempt) {
        runningByEndpoint
                .computeIfAbsent(attempt.endpointId(), e -> new LinkedHashSet<>())
                .add(attempt);
    }

    /** Records that an attempt ended. */
    void recordEnded(RunningAttempt attempt) {
        Set<RunningAttempt> running = runningByEndpoint.get(attempt.endpointId());
        if (running == null) {
            return;
        }
        running.remove(attempt);
        if (running.isEmpty()) {
            runningByEndpoint.remove(attempt.endpointId());
        }
    }

    /** Records a complete response. */
    void recordSuccess(Fingerprint content) {
        if (hasDeaths) {
            step(new QuarantineInput.Succeeded(content));
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

    /** Reports an endpoint that is silent or unreachable as dead if requests run on it. */
    void reportDeath(EndpointView endpoint) {
        Set<RunningAttempt> running = runningAt(endpoint.record().id());
        if (!running.isEmpty()) {
            recordDeath(endpoint.record().id(), running);
        }
    }

    /** Applies a death report from another edge. */
    void applyDeath(RegistryMessage.Death death) {
        if (!death.host().equals(localHost)) {
            hasDeaths = true;
            Set<Fingerprint> contents =
                    death.suspects().stream()
                            .map(CrashSuspect::content)
                            .collect(Collectors.toSet());
            recentCrashes.add(death.endpoint(), contents);
            step(new QuarantineInput.Reported(death.host(), death.endpoint(), contents));
        }
    }

    /** Applies a quarantine decision of another edge. */
    void applyRefusal(RegistryMessage.Refusal refusal) {
        if (refusal.signature() instanceof CrashSignature.OfContent signature) {
            step(new QuarantineInput.Announced(signature.content(), refusal.millis()));
        }
    }

    /** Advances the quarantine timers. */
    void expire() {
        if (hasDeaths) {
            step(new QuarantineInput.Tick());
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
        hasDeaths = true;
        LogEvent.info(LOG, "endpoint.died")
                .with("endpoint", endpoint)
                .with("running", running.size())
                .with("contents", describe(running))
                .write();
        Set<Fingerprint> contents =
                running.stream().map(RunningAttempt::content).collect(Collectors.toSet());
        recentCrashes.add(endpoint, contents);
        step(new QuarantineInput.Died(endpoint, contents));
    }

    /** Returns what the attempts ran, as {@code fingerprint/shared parts/progress} each. */
    private static String describe(Set<RunningAttempt> running) {
        return running.stream()
                .limit(MAX_LOGGED_ATTEMPTS)
                .map(RunningAttempt::toString)
                .collect(Collectors.joining(","));
    }

    private void step(QuarantineInput input) {
        for (QuarantineEffect effect : quarantine.step(EventLoop.nowMillis(), input)) {
            if (effect instanceof QuarantineEffect.Report report) {
                registries.sendToRelay(
                        new RegistryMessage.Death(
                                localHost, report.endpoint(), suspects(report.running())));
            } else if (effect instanceof QuarantineEffect.Announce announce) {
                registries.sendToRelay(
                        new RegistryMessage.Refusal(
                                new CrashSignature.OfContent(announce.fingerprint()),
                                announce.millis()));
            } else if (effect instanceof QuarantineEffect.Quarantined quarantined) {
                applyQuarantine(quarantined);
            }
        }
    }

    private static List<CrashSuspect> suspects(Set<Fingerprint> contents) {
        return contents.stream().map(content -> new CrashSuspect(content, Set.of())).toList();
    }

    private void applyQuarantine(QuarantineEffect.Quarantined quarantined) {
        if (quarantined.on()) {
            quarantinedContent.add(quarantined.fingerprint());
        } else {
            quarantinedContent.remove(quarantined.fingerprint());
        }
        LogEvent.warning(LOG, "content.quarantined")
                .with("fingerprint", Long.toHexString(quarantined.fingerprint().high()))
                .with("on", quarantined.on())
                .with("died", recentCrashes.describeThoseOf(quarantined.fingerprint()))
                .write();
    }
}
