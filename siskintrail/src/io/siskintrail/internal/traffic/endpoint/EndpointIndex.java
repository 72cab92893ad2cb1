package io.siskintrail.internal.traffic.endpoint;

import io.siskintrail.lib.EndpointId;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Finds the records of endpoints that share an id or an address. Not thread-safe. */
final class EndpointIndex {
    private final Map<EndpointId, Set<EndpointKey>> keysById = new HashMap<>();
    private final Map<String, Set<EndpointKey>> keysByAddress = new HashMap<>();

    /** Adds a record, whose key must not be in the index. */
    void add(EndpointRecord record) {
        EndpointKey key = EndpointKey.of(record);
        keysById.computeIfAbsent(record.id(), id -> new LinkedHashSet<>()).add(key);
        keysByAddress.computeIfAbsent(record.address(), a -> new LinkedHashSet<>()).add(key);
    }

    /** Removes a record as it was added. */
    void remove(EndpointRecord record) {
        EndpointKey key = EndpointKey.of(record);
        removeFrom(keysById, record.id(), key);
        removeFrom(keysByAddress, record.address(), key);
    }

    /** Returns the keys with an id. */
    Set<EndpointKey> withId(EndpointId id) {
        return keysById.getOrDefault(id, Set.of());
    }

    /** Returns the keys with the id or the address of a record, without its own. */
    Set<EndpointKey> sharing(EndpointRecord record) {
        Set<EndpointKey> keys = new LinkedHashSet<>(withId(record.id()));
        keys.addAll(keysByAddress.getOrDefault(record.address(), Set.of()));
        keys.remove(EndpointKey.of(record));
        return keys;
    }

    private static <K> void removeFrom(Map<K, Set<EndpointKey>> keys, K name, EndpointKey key) {
        Set<EndpointKey> left = keys.get(name);
        left.remove(key);
        if (left.isEmpty()) {
            keys.remove(name);
        }
    }
}
