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
 * Finds requests that crash the endpoints that run them, together with the other edges: tells them
 * what ran on an endpoint that died, and refuses what {@link Quarantine} blames.
 */
final class QuarantineDesk {
    private static final System.Logger LOG = System.getLogger(QuarantineDesk.class.getName());

    private final HostId self;
    private final EndpointPool pool;
    private final RegistryFollower registries;
    private final Quarantine quarantine = new Quarantine();
    private final Set<Fingerprint> refused = new HashSet<>();
    private final Map<EndpointId, Map<Fingerprint, Integer>> running = new HashMap<>();
    private final Map<EndpointId, Set<Fingerprint>> suspected = new HashMap<>();
    private boolean hasEvidence;

    QuarantineDesk(HostId self, EndpointPool pool, RegistryFollower registries) {
        this.self = self;
        this.pool = pool;
        this.registries = registries;
    }

    /** Returns whether requests with this content are refused. */
    boolean refuses(Fingerprint content) {
        return refused.contains(content);
    }

    /** Notes that a request was sent to an endpoint. */
    void sent(EndpointView endpoint, Fingerprint content) {
        running.computeIfAbsent(endpoint.record().id(), e -> new HashMap<>())
                .merge(content, 1, Integer::sum);
    }

    /** Notes that an attempt is over. */
    void left(EndpointView endpoint, Fingerprint content) {
        Map<Fingerprint, Integer> there = running.get(endpoint.record().id());
        if (there == null) {
            return;
        }
        there.computeIfPresent(content, (c, n) -> n == 1 ? null : n - 1);
        if (there.isEmpty()) {
            running.remove(endpoint.record().id());
        }
    }

    /** Notes a whole answer. */
    void succeeded(Fingerprint content) {
        if (hasEvidence) {
            step(new QuarantineInput.Succeeded(content));
        }
    }

    /** Notes that an attempt broke off; looks whether the endpoint is still there. */
    void broken(EndpointView endpoint, Fingerprint content) {
        EndpointId id = endpoint.record().id();
        Set<Fingerprint> known = suspected.get(id);
        if (known != null) {
            known.add(content);
            return;
        }
        Set<Fingerprint> there = new HashSet<>(runningAt(id));
        there.add(content);
        suspected.put(id, there);
        pool.probe(endpoint.record().address(), reached -> probed(endpoint, reached));
    }

    /** Notes that an endpoint is silent or cannot be reached. */
    void died(EndpointView endpoint) {
        Set<Fingerprint> there = runningAt(endpoint.record().id());
        if (!there.isEmpty()) {
            report(endpoint.record().id(), there);
        }
    }

    /** Takes the report of another edge. */
    void told(RegistryMessage.Death death) {
        if (!death.host().equals(self)) {
            hasEvidence = true;
            step(new QuarantineInput.Reported(death.host(), death.endpoint(), death.running()));
        }
    }

    /** Takes the decision of another edge. */
    void told(RegistryMessage.Refusal refusal) {
        step(new QuarantineInput.Announced(refusal.content(), refusal.millis()));
    }

    /** Lets time pass. */
    void tick() {
        if (hasEvidence) {
            step(new QuarantineInput.Tick());
        }
    }

    private Set<Fingerprint> runningAt(EndpointId id) {
        return running.getOrDefault(id, Map.of()).keySet();
    }

    private void probed(EndpointView endpoint, boolean reached) {
        Set<Fingerprint> there = suspected.remove(endpoint.record().id());
        if (!reached && there != null) {
            endpoint.health().unreachable(EventLoop.nowMillis());
            report(endpoint.record().id(), there);
        }
    }

    private void report(EndpointId endpoint, Set<Fingerprint> there) {
        hasEvidence = true;
        LogEvent.info(LOG, "endpoint.died")
                .with("endpoint", endpoint)
                .with("running", there.size())
                .write();
        step(new QuarantineInput.Died(endpoint, Set.copyOf(there)));
    }

    private void step(QuarantineInput input) {
        for (QuarantineEffect effect : quarantine.step(EventLoop.nowMillis(), input)) {
            if (effect instanceof QuarantineEffect.Report r) {
                registries.sendToOne(new RegistryMessage.Death(self, r.endpoint(), r.running()));
            } else if (effect instanceof QuarantineEffect.Announce a) {
                registries.sendToOne(new RegistryMessage.Refusal(a.fingerprint(), a.millis()));
            } else if (effect instanceof QuarantineEffect.Quarantined q) {
                impose(q);
            }
        }
    }

    private void impose(QuarantineEffect.Quarantined q) {
        if (q.on()) {
            refused.add(q.fingerprint());
        } else {
            refused.remove(q.fingerprint());
        }
        LogEvent.warning(LOG, "content.quarantined")
                .with("fingerprint", Long.toHexString(q.fingerprint().high()))
                .with("on", q.on())
                .write();
    }
}
