package io.siskintrail.internal.policy;

import com.dynatrace.hash4j.hashing.Hashing;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds the endpoints and partitions them into pools. The endpoints of one model or service form a
 * group; the hash of the endpoint id assigns each endpoint of a group to a pool of about {@link
 * #TARGET_POOL_ENDPOINTS} endpoints. A router uses a stable subset of the pools of a group, chosen
 * by rendezvous hashing (Thaler and Ravishankar, 1998).
 */
final class EndpointTable {
    static final int TARGET_POOL_ENDPOINTS = 32;
    private static final int POOLS_PER_ROUTER = 2;

    private final HostId self;
    private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
    private final Map<String, List<EndpointState>> pools = new TreeMap<>();
    private final Map<Target, List<EndpointState>> serving = new HashMap<>();
    private final Set<String> ownPools = new TreeSet<>();

    EndpointTable(HostId self) {
        this.self = self;
    }

    /**
     * Adds or updates an endpoint; a new incarnation resets its health, an older one is ignored.
     */
    void update(long now, EndpointInfo info) {
        EndpointState e = endpoints.get(info.id());
        if (e == null) {
            endpoints.put(info.id(), new EndpointState(info, now));
        } else if (info.incarnation() < e.info.incarnation()) {
            return;
        } else {
            if (info.incarnation() > e.info.incarnation()) {
                e.health = new EndpointHealth(now, true);
            }
            boolean unchanged = e.info.equals(info);
            e.update(info);
            if (unchanged) {
                return;
            }
        }
        rebuild();
    }

    void remove(EndpointId id) {
        if (endpoints.remove(id) != null) {
            rebuild();
        }
    }

    /** Returns the endpoint, or null when it is unknown. */
    EndpointState get(EndpointId id) {
        return endpoints.get(id);
    }

    Collection<EndpointState> all() {
        return endpoints.values();
    }

    Set<String> pools() {
        return pools.keySet();
    }

    List<EndpointState> pool(String pool) {
        return pools.getOrDefault(pool, List.of());
    }

    /** Returns the names of the pools in the stable subset of this router. */
    Set<String> ownPools() {
        return ownPools;
    }

    /**
     * Returns the endpoints that serve {@code target}: those in the subset of this router or, when
     * the subset has none, those in pools chosen the same way among the pools that serve it.
     */
    List<EndpointState> serving(Target target) {
        return serving.computeIfAbsent(target, this::findServing);
    }

    private List<EndpointState> findServing(Target target) {
        List<EndpointState> all =
                endpoints.values().stream().filter(e -> e.serves(target)).toList();
        List<EndpointState> inOwnPools =
                all.stream().filter(e -> ownPools.contains(e.pool)).toList();
        if (!inOwnPools.isEmpty()) {
            return inOwnPools;
        }
        List<String> poolNames = all.stream().map(e -> e.pool).distinct().toList();
        List<String> selectedPools = selectByRendezvousHash(poolNames);
        return all.stream().filter(e -> selectedPools.contains(e.pool)).toList();
    }

    private void rebuild() {
        pools.clear();
        serving.clear();
        ownPools.clear();
        Map<String, List<EndpointState>> groups = new TreeMap<>();
        for (EndpointState e : endpoints.values()) {
            groups.computeIfAbsent(groupName(e.info), g -> new ArrayList<>()).add(e);
        }
        groups.forEach(this::partition);
    }

    private void partition(String group, List<EndpointState> members) {
        int minPools = (members.size() + TARGET_POOL_ENDPOINTS - 1) / TARGET_POOL_ENDPOINTS;
        int poolCount = Integer.highestOneBit(Math.max(1, 2 * minPools - 1));
        Set<String> poolNames = new TreeSet<>();
        for (EndpointState e : members) {
            long poolIndex = hash(e.info.id().value()) & (poolCount - 1);
            e.pool = poolCount == 1 ? group : group + "/" + poolIndex + "of" + poolCount;
            pools.computeIfAbsent(e.pool, p -> new ArrayList<>()).add(e);
            poolNames.add(e.pool);
        }
        ownPools.addAll(selectByRendezvousHash(List.copyOf(poolNames)));
    }

    private List<String> selectByRendezvousHash(List<String> poolNames) {
        return poolNames.stream()
                .sorted(
                        Comparator.<String>comparingLong(p -> hash(self + "|" + p))
                                .thenComparing(p -> p))
                .limit(POOLS_PER_ROUTER)
                .toList();
    }

    private static String groupName(EndpointInfo info) {
        if (!info.models().isEmpty()) {
            return "model:" + info.models().get(0).model();
        }
        return info.services().isEmpty() ? "none" : "service:" + info.services().get(0);
    }

    static long hash(String text) {
        return Hashing.komihash5_0().hashCharsToLong(text);
    }
}
