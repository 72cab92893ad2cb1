package io.siskintrail.edge.internal;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.Quarantine;
import io.siskintrail.internal.generation.QuarantineEffect;
import io.siskintrail.internal.generation.QuarantineInput;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Finds, together with the other edges, requests that crash the endpoints that run them: reports to
 * other edges what ran on an endpoint that died, and rejects the content that {@link Quarantine}
 * blames.
 */
final class QuarantineCoordinator {
    private static final System.Logger LOG =
            System.getLogger(QuarantineCoordinator.class.getName());

    private final HostId localHost;
    private final EndpointPool pool;
    private final RegistryFollower registries;
    private final Quarantine quarantine = new Quarantine();
    private final Set<Fingerprint> quarantinedContent = new HashSet<>();
    private final Map<EndpointId, Map<Fingerprint, Integer>> runningByEndpoint = new HashMap<>();
    private final Map<EndpointId, Set<Fingerprint>> pendingProbes = new HashMap<>();
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

    /** Records that a request was sent to an endpoint. */
    void recordSent(EndpointView endpoint, Fingerprint content) {
        runningByEndpoint
                .computeIfAbsent(endpoint.record().id(), e -> new HashMap<>())
                .merge(content, 1, Integer::sum);
    }

    /** Records that an attempt ended. */
    void recordEnded(EndpointView endpoint, Fingerprint content) {
        Map<Fingerprint, Integer> contents = runningByEndpoint.get(endpoint.record().id());
        if (contents == null) {
            return;
        }
        contents.computeIfPresent(content, (c, count) -> count == 1 ? null : count - 1);
        if (contents.isEmpty()) {
            runningByEndpoint.remove(endpoint.record().id());
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
    void recordFailure(EndpointView endpoint, Fingerprint content) {
        EndpointId id = endpoint.record().id();
        Set<Fingerprint> pendingContents = pendingProbes.get(id);
        if (pendingContents != null) {
            pendingContents.add(content);
            return;
        }
        Set<Fingerprint> contents = new HashSet<>(runningAt(id));
        contents.add(content);
        pendingProbes.put(id, contents);
        pool.probe(endpoint.record().address(), reached -> handleProbeResult(endpoint, reached));
    }

    /** Reports an endpoint that is silent or unreachable as dead if requests run on it. */
    void reportDeath(EndpointView endpoint) {
        Set<Fingerprint> contents = runningAt(endpoint.record().id());
        if (!contents.isEmpty()) {
            recordDeath(endpoint.record().id(), contents);
        }
    }

    /** Applies a death report from another edge. */
    void applyDeath(RegistryMessage.Death death) {
        if (!death.host().equals(localHost)) {
            hasDeaths = true;
            step(new QuarantineInput.Reported(death.host(), death.endpoint(), death.running()));
        }
    }

    /** Applies a quarantine decision of another edge. */
    void applyRefusal(RegistryMessage.Refusal refusal) {
        step(new QuarantineInput.Announced(refusal.content(), refusal.millis()));
    }

    /** Advances the quarantine timers. */
    void expire() {
        if (hasDeaths) {
            step(new QuarantineInput.Tick());
        }
    }

    private Set<Fingerprint> runningAt(EndpointId id) {
        return runningByEndpoint.getOrDefault(id, Map.of()).keySet();
    }

    private void handleProbeResult(EndpointView endpoint, boolean reached) {
        Set<Fingerprint> contents = pendingProbes.remove(endpoint.record().id());
        if (!reached && contents != null) {
            endpoint.health().recordUnreachable(EventLoop.nowMillis());
            recordDeath(endpoint.record().id(), contents);
        }
    }

    private void recordDeath(EndpointId endpoint, Set<Fingerprint> contents) {
        hasDeaths = true;
        LogEvent.info(LOG, "endpoint.died")
                .with("endpoint", endpoint)
                .with("running", contents.size())
                .write();
        step(new QuarantineInput.Died(endpoint, Set.copyOf(contents)));
    }

    private void step(QuarantineInput input) {
        for (QuarantineEffect effect : quarantine.step(EventLoop.nowMillis(), input)) {
            if (effect instanceof QuarantineEffect.Report report) {
                registries.sendToRelay(
                        new RegistryMessage.Death(localHost, report.endpoint(), report.running()));
            } else if (effect instanceof QuarantineEffect.Announce announce) {
                registries.sendToRelay(
                        new RegistryMessage.Refusal(announce.fingerprint(), announce.millis()));
            } else if (effect instanceof QuarantineEffect.Quarantined quarantined) {
                applyQuarantine(quarantined);
            }
        }
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
                .write();
    }
}
