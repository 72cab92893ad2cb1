package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.LinkedHashSet;
import java.util.Set;

/** Backup copy of a generation that another router owns. */
final class HeldCopy {
    final GenerationSpec spec;
    final OwnerEpoch epoch;
    final Journal journal = new Journal();
    final Set<HostId> interestedRouters = new LinkedHashSet<>();
    int attempt;
    EndpointId endpoint;
    int failures;
    long touchedAt;

    HeldCopy(BuddyMessage.Open open, long now) {
        spec = open.spec();
        epoch = open.epoch();
        journal.append(open.run());
        journal.copyLineage(open.lineage());
        journal.setOutcome(open.outcome());
        attempt = open.attempt();
        endpoint = open.endpoint();
        failures = open.failures();
        touchedAt = now;
    }

    boolean isDone() {
        return journal.outcome() != null;
    }
}
