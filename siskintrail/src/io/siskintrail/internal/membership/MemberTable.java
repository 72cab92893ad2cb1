package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All entries that a host holds, with a digest over each of a fixed number of buckets.
 *
 * <p>The digest of a bucket is the exclusive or of the fingerprints in it, so that a change costs
 * the same at any size.
 */
final class MemberTable {
    static final int BUCKETS = 64;

    private final Map<HostId, HostEntry> hosts = new TreeMap<>();
    private final Map<EndpointId, EndpointEntry> endpoints = new TreeMap<>();
    private final Map<EndpointId, Long> endedAt = new HashMap<>();
    private final long[] digests = new long[BUCKETS];
    private final List<Map<String, MemberEntry>> buckets = new ArrayList<>();

    MemberTable() {
        for (int i = 0; i < BUCKETS; i++) {
            buckets.add(new TreeMap<>());
        }
    }

    HostEntry host(HostId id) {
        return hosts.get(id);
    }

    EndpointEntry endpoint(EndpointId id) {
        return endpoints.get(id);
    }

    Map<HostId, HostEntry> hosts() {
        return hosts;
    }

    Map<EndpointId, EndpointEntry> endpoints() {
        return endpoints;
    }

    void put(HostEntry entry) {
        unlist(hosts.put(entry.id(), entry));
        list(entry);
    }

    void put(EndpointEntry entry, long nowMillis) {
        unlist(endpoints.put(entry.info().id(), entry));
        list(entry);
        if (entry.isAlive()) {
            endedAt.remove(entry.info().id());
        } else {
            endedAt.putIfAbsent(entry.info().id(), nowMillis);
        }
    }

    void removeHost(HostId id) {
        unlist(hosts.remove(id));
    }

    /** Takes entries that ended before {@code millis} out of the digests; they stay known. */
    void retireEndedBefore(long millis) {
        endedAt.forEach(
                (id, at) -> {
                    if (at < millis) {
                        unlist(endpoints.get(id));
                    }
                });
    }

    /** Forgets entries that ended before {@code millis}. */
    void forgetEndedBefore(long millis) {
        endedAt.entrySet()
                .removeIf(
                        e -> {
                            boolean old = e.getValue() < millis;
                            if (old) {
                                unlist(endpoints.remove(e.getKey()));
                            }
                            return old;
                        });
    }

    List<Long> digests() {
        List<Long> list = new ArrayList<>(BUCKETS);
        for (long digest : digests) {
            list.add(digest);
        }
        return list;
    }

    List<MemberEntry> bucket(int number) {
        return List.copyOf(buckets.get(number).values());
    }

    private void list(MemberEntry entry) {
        int bucket = bucketOf(entry);
        buckets.get(bucket).put(entry.key(), entry);
        digests[bucket] ^= entry.fingerprint();
    }

    private void unlist(MemberEntry entry) {
        if (entry != null) {
            int bucket = bucketOf(entry);
            if (buckets.get(bucket).remove(entry.key(), entry)) {
                digests[bucket] ^= entry.fingerprint();
            }
        }
    }

    private static int bucketOf(MemberEntry entry) {
        return Math.floorMod(entry.key().hashCode() * 0x9E3779B9 >>> 8, BUCKETS);
    }
}
