package io.siskintrail.internal.consensus;

import io.siskintrail.lib.HostId;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides when the first replicas of a deployment begin a new log: when all of them are there at
 * the same time and none knows of a log. The lowest of them begins it for all. Used on the control
 * thread.
 */
public final class Formation {
    private static final long FRESH_MILLIS = 3_000;

    private final ReplicaId self;
    private final List<HostId> first;
    private final Map<HostId, Seen> seen = new HashMap<>();

    private record Seen(ReplicaId id, long atMillis) {}

    /**
     * Waits for the first hosts.
     *
     * @param self this replica
     * @param first the hosts that begin a log together; empty when this host must not
     */
    public Formation(ReplicaId self, List<HostId> first) {
        this.self = self;
        this.first = first;
    }

    /** Notes that a replica knows of no log. */
    public void waits(long nowMillis, ReplicaId id) {
        seen.put(id.host(), new Seen(id, nowMillis));
    }

    /** Returns the replica set to begin with, null while this is not the time or the host. */
    public ReplicaSet decide(long nowMillis) {
        if (first.isEmpty() || !self.host().equals(Collections.min(first))) {
            return null;
        }
        Set<ReplicaId> all = new HashSet<>(Set.of(self));
        for (HostId host : first) {
            Seen other = seen.get(host);
            if (host.equals(self.host())) {
                continue;
            }
            if (other == null || nowMillis - other.atMillis() > FRESH_MILLIS) {
                return null;
            }
            all.add(other.id());
        }
        return ReplicaSet.ofVoters(all);
    }
}
