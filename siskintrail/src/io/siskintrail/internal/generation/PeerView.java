package io.siskintrail.internal.generation;

import com.dynatrace.hash4j.hashing.Hashing;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the other routers: which are silent, and which are candidates for the copy of a request.
 * Candidates are ordered by rendezvous hashing (Thaler and Ravishankar, 1998), so every router
 * looks for a request in the same few places.
 */
final class PeerView {
    private static final int MAX_CANDIDATE_DOMAINS = 3;
    private static final int MAX_CANDIDATES_PER_DOMAIN = 2;

    private final HostInfo self;
    private final Map<HostId, HostInfo> peers = new HashMap<>();
    private final Map<HostId, Long> lastHeardAt = new HashMap<>();
    private final Map<HostId, Long> incarnations = new HashMap<>();
    private final Map<HostId, Long> suspectUntil = new HashMap<>();
    private final Set<HostId> down = new HashSet<>();

    PeerView(HostInfo self) {
        this.self = self;
    }

    void setPeers(List<HostInfo> hosts) {
        peers.clear();
        down.clear();
        for (HostInfo host : hosts) {
            if (!host.id().equals(self.id())) {
                peers.put(host.id(), host);
            }
        }
    }

    /** Records a message from a router; returns false when a newer process replaced the sender. */
    boolean recordMessage(HostId host, long incarnation, long now) {
        if (incarnation < incarnations.getOrDefault(host, incarnation)) {
            return false;
        }
        incarnations.put(host, incarnation);
        lastHeardAt.put(host, now);
        suspectUntil.remove(host);
        down.remove(host);
        return true;
    }

    /** Returns the highest incarnation heard from a router, 0 when none was heard. */
    long incarnation(HostId host) {
        return incarnations.getOrDefault(host, 0L);
    }

    void markSuspected(HostId host, long until) {
        suspectUntil.put(host, until);
    }

    void markDown(HostId host) {
        down.add(host);
    }

    boolean isDown(HostId host) {
        return down.contains(host);
    }

    /** Returns whether the process that wrote {@code epoch} was replaced by another one. */
    boolean isReplaced(OwnerEpoch epoch) {
        Long known = incarnations.get(epoch.owner());
        return known != null && known > epoch.incarnation();
    }

    /**
     * Returns the time since the last message of a router; the first query starts the time at 0.
     */
    long silenceMillis(HostId host, long now) {
        return now - lastHeardAt.computeIfAbsent(host, h -> now);
    }

    /** Restarts the silence of all routers at {@code now}, after this process was paused. */
    void resetSilence(long now) {
        lastHeardAt.replaceAll((host, previous) -> now);
    }

    /**
     * Returns the router that should hold the copy of {@code ref}, preferably in another failure
     * domain, or null when none is reachable.
     */
    HostId chooseBuddy(RequestRef ref, Set<HostId> refused, long now) {
        HostId sameDomain = null;
        for (HostInfo host : rankPeers(ref)) {
            boolean suspected = suspectUntil.getOrDefault(host.id(), 0L) > now;
            if (suspected || down.contains(host.id()) || refused.contains(host.id())) {
                continue;
            }
            if (!host.domain().equals(self.domain())) {
                return host.id();
            }
            sameDomain = sameDomain == null ? host.id() : sameDomain;
        }
        return sameDomain;
    }

    boolean hasPeers() {
        return !peers.isEmpty();
    }

    /** Returns the routers to ask about {@code ref}, without those that are down. */
    List<HostId> candidates(RequestRef ref) {
        Map<FailureDomain, Integer> countByDomain = new HashMap<>();
        List<HostId> found = new ArrayList<>();
        for (HostInfo host : rankPeers(ref)) {
            boolean domainsExhausted =
                    countByDomain.size() == MAX_CANDIDATE_DOMAINS
                            && !countByDomain.containsKey(host.domain());
            if (down.contains(host.id()) || domainsExhausted) {
                continue;
            }
            if (countByDomain.merge(host.domain(), 1, Integer::sum) <= MAX_CANDIDATES_PER_DOMAIN) {
                found.add(host.id());
            }
        }
        return found;
    }

    private List<HostInfo> rankPeers(RequestRef ref) {
        String text = ref.account().value() + "\n" + ref.key().value() + "\n";
        Map<HostId, Long> scores = new HashMap<>();
        for (HostId host : peers.keySet()) {
            scores.put(host, Hashing.komihash5_0().hashCharsToLong(text + host.value()));
        }
        List<HostInfo> order = new ArrayList<>(peers.values());
        order.sort(
                Comparator.comparing((HostInfo h) -> scores.get(h.id()))
                        .thenComparing(HostInfo::id));
        return order;
    }
}
