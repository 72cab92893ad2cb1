package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyMessage.Usage;
import io.siskintrail.internal.policy.PolicyMessage.UsageEntry;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sends the usage of each account on this router to the other routers and charges their usage here.
 * The interval grows with the number of routers, so that the bytes per second stay bounded.
 */
final class UsageExchange {
    private static final long INTERVAL_MILLIS = 200;
    private static final long INTERVAL_PER_PEER_MILLIS = 20;

    private final HostId self;
    private final long incarnation;
    private final Map<Rank, VirtualCounters> counters;
    private final Admission admission;
    private final Map<HostId, Usage> lastUsage = new HashMap<>();
    private final Set<HostId> peersWithBaseline = new HashSet<>();
    private Set<HostId> peers = Set.of();
    private long sentAtMillis;
    private long sequence;

    UsageExchange(
            HostId self,
            long incarnation,
            Map<Rank, VirtualCounters> counters,
            Admission admission) {
        this.self = self;
        this.incarnation = incarnation;
        this.counters = counters;
        this.admission = admission;
    }

    void updatePeers(Set<HostId> live) {
        for (HostId removed : peers) {
            if (!live.contains(removed)) {
                counters.values().forEach(c -> c.clearInFlight(removed));
                peersWithBaseline.remove(removed);
            }
        }
        peers = live;
    }

    /** Charges the usage that {@code from} reports; ignores old messages. */
    void receive(long now, HostId from, Usage usage) {
        Usage previous = lastUsage.get(from);
        boolean baseline = previous == null;
        if (!baseline && previous.incarnation() != usage.incarnation()) {
            if (usage.incarnation() < previous.incarnation()) {
                return;
            }
            counters.values().forEach(c -> c.removeRemoteCounts(from));
        } else if (!baseline && usage.sequence() <= previous.sequence()) {
            return;
        }
        lastUsage.put(from, new Usage(usage.incarnation(), usage.sequence(), List.of()));
        for (UsageEntry e : usage.entries()) {
            VirtualCounters.RemoteCounts delta = counters.get(e.rank()).merge(from, e, baseline);
            if (delta.requests() != 0 || delta.servedCost() != 0) {
                admission.chargeRemote(now, e.account(), delta.requests(), delta.servedCost());
            }
        }
    }

    /** Adds the due usage messages to {@code effects}. */
    void sendDue(long now, List<PolicyEffect> effects) {
        long interval = Math.max(INTERVAL_MILLIS, INTERVAL_PER_PEER_MILLIS * peers.size());
        if (peers.size() < 2 || now - sentAtMillis < interval) {
            return;
        }
        sentAtMillis = now;
        sequence++;
        List<UsageEntry> changed = new ArrayList<>();
        counters.values().forEach(c -> changed.addAll(c.drainChangedUsage()));
        for (HostId peer : peers) {
            if (peer.equals(self)) {
                continue;
            }
            List<UsageEntry> entries = changed;
            if (peersWithBaseline.add(peer)) {
                entries = new ArrayList<>();
                for (VirtualCounters c : counters.values()) {
                    entries.addAll(c.allUsage());
                }
            }
            effects.add(new PolicyEffect.Send(peer, new Usage(incarnation, sequence, entries)));
        }
    }
}
