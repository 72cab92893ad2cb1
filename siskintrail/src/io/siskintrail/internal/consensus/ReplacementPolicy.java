package io.siskintrail.internal.consensus;

import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides on a leader how lost replicas are replaced, one change at a time: a spare becomes a
 * learner, a learner that has caught up becomes a voter, then the lost voter is removed.
 */
public final class ReplacementPolicy {
    private static final long MAX_LAG = 64;

    private final int targetVoters;
    private final long lostAfterMillis;
    private final Map<ReplicaId, Offer> offers = new HashMap<>();

    /** A spare that asked to be taken, and when. */
    private record Offer(FailureDomain domain, long atMillis) {}

    /**
     * Makes a policy.
     *
     * @param targetVoters how many voters there are to be
     * @param lostAfterMillis the silence after which a replica counts as lost
     */
    public ReplacementPolicy(int targetVoters, long lostAfterMillis) {
        this.targetVoters = targetVoters;
        this.lostAfterMillis = lostAfterMillis;
    }

    /** Notes that a replica without a leader offers itself. */
    public void offered(long nowMillis, ReplicaId spare, FailureDomain domain) {
        offers.put(spare, new Offer(domain, nowMillis));
    }

    /**
     * Returns the next change, if any.
     *
     * @param self the leader
     * @param set the replica set in use
     * @param health what the leader knows of the others
     * @param domains the failure domains of hosts, as far as known
     */
    public Optional<ReplicaChange> next(
            long nowMillis,
            ReplicaId self,
            ReplicaSet set,
            List<ReplicaHealth> health,
            Map<HostId, FailureDomain> domains) {
        offers.values().removeIf(o -> nowMillis - o.atMillis() > lostAfterMillis);
        Set<ReplicaId> lost = lost(set, health);
        for (ReplicaHealth h : health) {
            if (!h.voter()) {
                return lost.contains(h.id())
                        ? Optional.of(new ReplicaChange.Remove(h.id()))
                        : promotion(h);
            }
        }
        if (set.voters().size() > targetVoters) {
            return Optional.of(new ReplicaChange.Remove(worst(health, lost)));
        }
        boolean missing = set.voters().size() < targetVoters;
        boolean degraded = set.voters().stream().anyMatch(lost::contains);
        if (!missing && !degraded) {
            return Optional.empty();
        }
        return bestSpare(self, set, lost, domains).map(ReplicaChange.AddLearner::new);
    }

    private static Optional<ReplicaChange> promotion(ReplicaHealth learner) {
        return learner.lag() <= MAX_LAG
                ? Optional.of(new ReplicaChange.Promote(learner.id()))
                : Optional.empty();
    }

    /** Returns the silent replicas, and those whose host came back with another disk. */
    private Set<ReplicaId> lost(ReplicaSet set, List<ReplicaHealth> health) {
        Set<ReplicaId> lost = new HashSet<>();
        for (ReplicaHealth h : health) {
            boolean diskReplaced =
                    offers.keySet().stream()
                            .anyMatch(o -> o.host().equals(h.id().host()) && !set.contains(o));
            if (h.silentMillis() > lostAfterMillis || diskReplaced) {
                lost.add(h.id());
            }
        }
        return lost;
    }

    private static ReplicaId worst(List<ReplicaHealth> health, Set<ReplicaId> lost) {
        return health.stream()
                .filter(ReplicaHealth::voter)
                .max(
                        Comparator.comparing((ReplicaHealth h) -> lost.contains(h.id()))
                                .thenComparing(ReplicaHealth::silentMillis)
                                .thenComparing(ReplicaHealth::lag))
                .orElseThrow()
                .id();
    }

    /** Prefers a spare in a failure domain that has no live voter. */
    private Optional<ReplicaId> bestSpare(
            ReplicaId self,
            ReplicaSet set,
            Set<ReplicaId> lost,
            Map<HostId, FailureDomain> domains) {
        Set<FailureDomain> used = new HashSet<>();
        for (ReplicaId voter : set.voters()) {
            FailureDomain domain = domains.get(voter.host());
            if (!lost.contains(voter) && domain != null) {
                used.add(domain);
            }
        }
        return offers.keySet().stream()
                .filter(id -> !set.contains(id) && !id.equals(self))
                .min(
                        Comparator.comparing(
                                        (ReplicaId id) -> used.contains(offers.get(id).domain()))
                                .thenComparing(Comparator.naturalOrder()));
    }
}
