package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates which prompt blocks the engines have cached. Entries are hints: updates arrive late and
 * with gaps, and entries expire. Holds at most {@code maxBlocks} pairs of block and engine and
 * evicts the least recently used pair.
 */
final class PrefixIndex {
    private final int maxBlocks;
    private final long ttlMillis;
    private final LinkedHashMap<CachedBlock, Long> lastUsedMillis =
            new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Long, Set<EndpointId>> enginesByBlock = new HashMap<>();
    private final Map<EndpointId, Long> lastSequences = new HashMap<>();

    PrefixIndex(int maxBlocks, long ttlMillis) {
        this.maxBlocks = maxBlocks;
        this.ttlMillis = ttlMillis;
    }

    /** Returns the number of pairs. */
    int size() {
        return lastUsedMillis.size();
    }

    /**
     * Records that {@code endpoint} is expected to cache {@code blocks} by a request sent to it.
     */
    void recordExpected(long now, EndpointId endpoint, long[] blocks) {
        for (long b : blocks) {
            put(now, endpoint, b);
        }
    }

    /**
     * Applies an event; ignores repeated and older events.
     *
     * @return whether events before it were missed, so that a snapshot must be requested
     */
    boolean apply(long now, PolicyInput.CacheEvent event) {
        Long last = lastSequences.get(event.endpoint());
        if (last != null && event.sequence() <= last) {
            return false;
        }
        lastSequences.put(event.endpoint(), event.sequence());
        for (long b : event.removed()) {
            remove(event.endpoint(), b);
        }
        for (long b : event.stored()) {
            put(now, event.endpoint(), b);
        }
        return last != null && event.sequence() != last + 1;
    }

    /** Replaces all entries of an engine. */
    void apply(long now, PolicyInput.CacheSnapshot snapshot) {
        removeEndpoint(snapshot.endpoint());
        lastSequences.put(snapshot.endpoint(), snapshot.sequence());
        for (long b : snapshot.blocks()) {
            put(now, snapshot.endpoint(), b);
        }
    }

    /** Removes all entries of an engine. */
    void removeEndpoint(EndpointId endpoint) {
        lastSequences.remove(endpoint);
        lastUsedMillis
                .keySet()
                .removeIf(
                        p -> {
                            boolean matches = p.endpoint.equals(endpoint);
                            if (matches) {
                                removeFromBlockMap(p);
                            }
                            return matches;
                        });
    }

    /**
     * Returns the number of leading blocks of {@code prefixHashes} by engine, for engines with any.
     */
    Map<EndpointId, Integer> matchingBlocks(long now, long[] prefixHashes) {
        Map<EndpointId, Integer> matchedBlocks = new HashMap<>();
        for (int i = 0; i < prefixHashes.length; i++) {
            boolean extended = false;
            for (EndpointId e : enginesByBlock.getOrDefault(prefixHashes[i], Set.of())) {
                if (matchedBlocks.getOrDefault(e, 0) == i && isUnexpired(now, e, prefixHashes[i])) {
                    matchedBlocks.put(e, i + 1);
                    extended = true;
                }
            }
            if (!extended) {
                break;
            }
        }
        return matchedBlocks;
    }

    private boolean isUnexpired(long now, EndpointId endpoint, long block) {
        Long usedAtMillis = lastUsedMillis.get(new CachedBlock(block, endpoint));
        return usedAtMillis != null && now - usedAtMillis <= ttlMillis;
    }

    private void put(long now, EndpointId endpoint, long block) {
        lastUsedMillis.put(new CachedBlock(block, endpoint), now);
        enginesByBlock.computeIfAbsent(block, b -> new HashSet<>()).add(endpoint);
        if (lastUsedMillis.size() > maxBlocks) {
            CachedBlock eldest = lastUsedMillis.keySet().iterator().next();
            lastUsedMillis.remove(eldest);
            removeFromBlockMap(eldest);
        }
    }

    private void remove(EndpointId endpoint, long block) {
        CachedBlock p = new CachedBlock(block, endpoint);
        if (lastUsedMillis.remove(p) != null) {
            removeFromBlockMap(p);
        }
    }

    private void removeFromBlockMap(CachedBlock p) {
        Set<EndpointId> engines = enginesByBlock.get(p.block);
        if (engines != null && engines.remove(p.endpoint) && engines.isEmpty()) {
            enginesByBlock.remove(p.block);
        }
    }

    private record CachedBlock(long block, EndpointId endpoint) {}
}
