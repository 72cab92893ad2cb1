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
 * Knows the other routers: which are silent, and which are the candidates for the copy of a
 * request. Candidates are ordered by rendezvous hashing (Thaler and Ravishankar, 1998), so every
 * router looks for a request in the same few places.
 */
final class PeerView {
    private static final int CANDIDATE_DOMAINS = 3;
    private static final int CANDIDATES_PER_DOMAIN = 2;

    private final HostInfo self;
    private final Map<HostId, HostInfo> peers = new HashMap<>();
    private final Map<HostId, Long> lastHeard = new HashMap<>();
    private final Map<HostId, Long> incarnations = new HashMap<>();
    private final Map<HostId, Long> suspectUntil = new HashMap<>();
    private final Set<HostId> down = new HashSet<>();

    PeerView(HostInfo self) {
        this.self = self;
    }

    void set(List<HostInfo> hosts) {
        peers.clear();
        down.clear();
        for (HostInfo host : hosts) {
            if (!host.id().equals(self.id())) {
                peers.put(host.id(), host);
            }
        }
    }

    /** Notes a sign of life; returns false when it came from a process that was replaced. */
    boolean heard(HostId host, long incarnation, long now) {
        if (incarnation < incarnations.getOrDefault(host, incarnation)) {
            return false;
        }
        incarnations.put(host, incarnation);
        lastHeard.put(host, now);
        suspectUntil.remove(host);
        down.remove(host);
        return true;
    }

    /** Returns the incarnation of the process that was heard last; 0 before any. */
    long incarnation(HostId host) {
        return incarnations.getOrDefault(host, 0L);
    }

    void suspect(HostId host, long until) {
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

    long silence(HostId host, long now) {
        return now - lastHeard.computeIfAbsent(host, h -> now);
    }

    /** Counts all silence from {@code now} on, after this process was paused. */
    void forgive(long now) {
        lastHeard.replaceAll((host, then) -> now);
    }

    /** Returns the router to keep the copy of {@code ref}, or null when none can be reached. */
    HostId buddyFor(RequestRef ref, Set<HostId> refused, long now) {
        HostId sameDomain = null;
        for (HostInfo host : ordered(ref)) {
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

    /** Returns the routers that may know {@code ref}. */
    List<HostId> candidates(RequestRef ref) {
        Map<FailureDomain, Integer> taken = new HashMap<>();
        List<HostId> found = new ArrayList<>();
        for (HostInfo host : ordered(ref)) {
            boolean full = taken.size() == CANDIDATE_DOMAINS && !taken.containsKey(host.domain());
            if (down.contains(host.id()) || full) {
                continue;
            }
            if (taken.merge(host.domain(), 1, Integer::sum) <= CANDIDATES_PER_DOMAIN) {
                found.add(host.id());
            }
        }
        return found;
    }

    private List<HostInfo> ordered(RequestRef ref) {
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
