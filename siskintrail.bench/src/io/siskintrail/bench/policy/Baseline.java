package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A router that starts every request at once, on the next or on the least loaded endpoint. */
final class Baseline implements StateMachine<PolicyInput, PolicyEffect> {
    private final boolean leastLoaded;
    private final List<EndpointId> endpoints = new ArrayList<>();
    private final Map<EndpointId, Integer> loads = new HashMap<>();
    private final Map<Long, EndpointId> running = new HashMap<>();
    private int next;

    Baseline(int firstEndpoint, boolean leastLoaded) {
        this.next = firstEndpoint;
        this.leastLoaded = leastLoaded;
    }

    @Override
    public List<PolicyEffect> step(long now, PolicyInput input) {
        if (input instanceof PolicyInput.Submit s) {
            return List.of(start(s.request().ticket()));
        }
        if (input instanceof PolicyInput.EndpointUp up && !endpoints.contains(up.info().id())) {
            endpoints.add(up.info().id());
        } else if (input instanceof PolicyInput.EndpointGone gone) {
            endpoints.remove(gone.endpoint());
        } else if (input instanceof PolicyInput.LoadReport r) {
            loads.put(r.endpoint(), r.running() + r.waiting());
        } else if (input instanceof PolicyInput.Finished f) {
            ended(f.ticket());
        } else if (input instanceof PolicyInput.Cancel c) {
            ended(c.ticket());
        }
        return List.of();
    }

    private PolicyEffect start(long ticket) {
        EndpointId chosen = endpoints.get(next++ % endpoints.size());
        if (leastLoaded) {
            for (EndpointId e : endpoints) {
                if (load(e) < load(chosen)) {
                    chosen = e;
                }
            }
        }
        running.put(ticket, chosen);
        loads.merge(chosen, 1, Integer::sum);
        return new PolicyEffect.Start(ticket, chosen);
    }

    private int load(EndpointId e) {
        return loads.getOrDefault(e, 0);
    }

    private void ended(long ticket) {
        EndpointId e = running.remove(ticket);
        if (e != null) {
            loads.merge(e, -1, Integer::sum);
        }
    }
}
