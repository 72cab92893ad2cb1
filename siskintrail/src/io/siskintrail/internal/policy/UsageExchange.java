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
 * Sends the usage of each account on this router to the other routers, and charges accounts on this
 * router for their usage on other routers. The interval between messages grows with the number of
 * routers, so that the bytes per second stay bounded.
 */
final class UsageExchange {
    private static final long MIN_INTERVAL_MILLIS = 200;
    private static final long INTERVAL_PER_PEER_MILLIS = 20;

    private final HostId self;
    private final long incarnation;
    private final Map<Rank, VirtualCounters> counters;
    private final Admission admission;

    /** Last message of each router, without its entries. */
    private final Map<HostId, Usage> lastMessages = new HashMap<>();

    private final Set<HostId> fullUsageSentTo = new HashSet<>();
    private Set<HostId> liveRouters = Set.of();
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

    void updateRouters(Set<HostId> newLiveRouters) {
        for (HostId router : liveRouters) {
            if (!newLiveRouters.contains(router)) {
                counters.values().forEach(c -> c.clearInFlight(router));
                fullUsageSentTo.remove(router);
            }
        }
        liveRouters = newLiveRouters;
    }

    /**
     * Charges the usage that {@code from} reports; ignores messages that are repeated, out of order
     * or from an earlier incarnation of the sender.
     */
    void receive(long now, HostId from, Usage usage) {
        Usage previous = lastMessages.get(from);
        boolean isFirstMessage = previous == null;
        if (!isFirstMessage && previous.incarnation() != usage.incarnation()) {
            if (usage.incarnation() < previous.incarnation()) {
                return;
            }
            counters.values().forEach(c -> c.removeRemoteCounts(from));
        } else if (!isFirstMessage && usage.sequence() <= previous.sequence()) {
            return;
        }
        lastMessages.put(from, new Usage(usage.incarnation(), usage.sequence(), List.of()));
        for (UsageEntry e : usage.entries()) {
            VirtualCounters.RemoteCounts delta =
                    counters.get(e.rank()).merge(from, e, isFirstMessage);
            if (delta.requests() != 0 || delta.servedCost() != 0) {
                admission.chargeRemote(now, e.account(), delta.requests(), delta.servedCost());
            }
        }
    }

    /** Adds a usage message for each other router to {@code effects} if the interval has passed. */
    void sendDue(long now, List<PolicyEffect> effects) {
        long interval =
                Math.max(MIN_INTERVAL_MILLIS, INTERVAL_PER_PEER_MILLIS * liveRouters.size());
        if (liveRouters.size() < 2 || now - sentAtMillis < interval) {
            return;
        }
        sentAtMillis = now;
        sequence++;
        List<UsageEntry> changed = new ArrayList<>();
        counters.values().forEach(c -> changed.addAll(c.drainChangedUsage()));
        for (HostId peer : liveRouters) {
            if (peer.equals(self)) {
                continue;
            }
            List<UsageEntry> entries = changed;
            if (fullUsageSentTo.add(peer)) {
                entries = new ArrayList<>();
                for (VirtualCounters c : counters.values()) {
                    entries.addAll(c.allUsage());
                }
            }
            effects.add(new PolicyEffect.Send(peer, new Usage(incarnation, sequence, entries)));
        }
    }
}
