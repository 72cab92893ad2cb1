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
 * Tells the other routers what each account used here and charges what it used there. The interval
 * grows with the number of routers, so that the bytes a second stay bounded.
 */
final class UsageExchange {
    private static final long INTERVAL_MILLIS = 200;
    private static final long INTERVAL_PER_PEER_MILLIS = 20;

    private final HostId self;
    private final long incarnation;
    private final Map<Rank, VirtualCounters> counters;
    private final Admission admission;
    private final Map<HostId, Usage> last = new HashMap<>();
    private final Set<HostId> greeted = new HashSet<>();
    private Set<HostId> peers = Set.of();
    private long sentAt;
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

    void peers(Set<HostId> live) {
        for (HostId gone : peers) {
            if (!live.contains(gone)) {
                counters.values().forEach(c -> c.forget(gone));
                greeted.remove(gone);
            }
        }
        peers = live;
    }

    /** Takes in what {@code from} has served. */
    void receive(long now, HostId from, Usage usage) {
        Usage before = last.get(from);
        boolean baseline = before == null;
        if (!baseline && before.incarnation() != usage.incarnation()) {
            if (usage.incarnation() < before.incarnation()) {
                return;
            }
            counters.values().forEach(c -> c.restart(from));
        } else if (!baseline && usage.sequence() <= before.sequence()) {
            return;
        }
        last.put(from, new Usage(usage.incarnation(), usage.sequence(), List.of()));
        for (UsageEntry e : usage.entries()) {
            VirtualCounters.Remote delta = counters.get(e.rank()).merge(from, e, baseline);
            if (delta.requests() != 0 || delta.service() != 0) {
                admission.chargeRemote(now, e.account(), delta.requests(), delta.service());
            }
        }
    }

    /** Adds the messages that are due to {@code out}. */
    void flush(long now, List<PolicyEffect> out) {
        long interval = Math.max(INTERVAL_MILLIS, INTERVAL_PER_PEER_MILLIS * peers.size());
        if (peers.size() < 2 || now - sentAt < interval) {
            return;
        }
        sentAt = now;
        sequence++;
        List<UsageEntry> changed = new ArrayList<>();
        counters.values().forEach(c -> changed.addAll(c.drainChanges()));
        for (HostId peer : peers) {
            if (peer.equals(self)) {
                continue;
            }
            List<UsageEntry> entries = changed;
            if (greeted.add(peer)) {
                entries = new ArrayList<>();
                for (VirtualCounters c : counters.values()) {
                    entries.addAll(c.all());
                }
            }
            out.add(new PolicyEffect.Send(peer, new Usage(incarnation, sequence, entries)));
        }
    }
}
