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
 * Holds the endpoints and cuts them into pools. The endpoints of one model or service form a group;
 * a group is cut by the hash of the endpoint into pools of about {@link #POOL_ENDPOINTS}. A router
 * works with a stable subset of the pools of a group, chosen by rendezvous hashing (Thaler and
 * Ravishankar, 1998).
 */
final class EndpointTable {
    static final int POOL_ENDPOINTS = 32;
    private static final int POOLS_PER_ROUTER = 2;

    private final HostId self;
    private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
    private final Map<String, List<EndpointState>> pools = new TreeMap<>();
    private final Map<Target, List<EndpointState>> serving = new HashMap<>();
    private final Set<String> ownPools = new TreeSet<>();

    EndpointTable(HostId self) {
        this.self = self;
    }

    /** Adds or changes an endpoint; a new incarnation starts afresh. */
    void up(long now, EndpointInfo info) {
        EndpointState e = endpoints.get(info.id());
        if (e == null) {
            endpoints.put(info.id(), new EndpointState(info, now));
        } else if (info.incarnation() < e.info.incarnation()) {
            return;
        } else {
            if (info.incarnation() > e.info.incarnation()) {
                e.health = new EndpointHealth(now, true);
            }
            boolean same = e.info.equals(info);
            e.update(info);
            if (same) {
                return;
            }
        }
        rebuild();
    }

    void gone(EndpointId id) {
        if (endpoints.remove(id) != null) {
            rebuild();
        }
    }

    /** Returns the endpoint, or null when it is not known. */
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

    /** Returns the pools of the stable subset of this router. */
    Set<String> ownPools() {
        return ownPools;
    }

    /** Returns the endpoints of the subset of this router that can run {@code target}. */
    List<EndpointState> serving(Target target) {
        return serving.computeIfAbsent(target, this::findServing);
    }

    private List<EndpointState> findServing(Target target) {
        List<EndpointState> all =
                endpoints.values().stream().filter(e -> e.serves(target)).toList();
        List<EndpointState> own = all.stream().filter(e -> ownPools.contains(e.pool)).toList();
        if (!own.isEmpty()) {
            return own;
        }
        List<String> found = all.stream().map(e -> e.pool).distinct().toList();
        List<String> chosen = nearest(found);
        return all.stream().filter(e -> chosen.contains(e.pool)).toList();
    }

    private void rebuild() {
        pools.clear();
        serving.clear();
        ownPools.clear();
        Map<String, List<EndpointState>> groups = new TreeMap<>();
        for (EndpointState e : endpoints.values()) {
            groups.computeIfAbsent(group(e.info), g -> new ArrayList<>()).add(e);
        }
        groups.forEach(this::cut);
    }

    private void cut(String group, List<EndpointState> members) {
        int wanted = (members.size() + POOL_ENDPOINTS - 1) / POOL_ENDPOINTS;
        int cells = Integer.highestOneBit(Math.max(1, 2 * wanted - 1));
        Set<String> names = new TreeSet<>();
        for (EndpointState e : members) {
            long cell = hash(e.info.id().value()) & (cells - 1);
            e.pool = cells == 1 ? group : group + "/" + cell + "of" + cells;
            pools.computeIfAbsent(e.pool, p -> new ArrayList<>()).add(e);
            names.add(e.pool);
        }
        ownPools.addAll(nearest(List.copyOf(names)));
    }

    private List<String> nearest(List<String> names) {
        return names.stream()
                .sorted(
                        Comparator.<String>comparingLong(p -> hash(self + "|" + p))
                                .thenComparing(p -> p))
                .limit(POOLS_PER_ROUTER)
                .toList();
    }

    private static String group(EndpointInfo info) {
        if (!info.models().isEmpty()) {
            return "model:" + info.models().get(0).model();
        }
        return info.services().isEmpty() ? "none" : "service:" + info.services().get(0);
    }

    static long hash(String text) {
        return Hashing.komihash5_0().hashCharsToLong(text);
    }
}
