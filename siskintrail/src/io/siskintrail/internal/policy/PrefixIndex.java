package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Guesses which blocks of prompts the engines have cached. Entries are hints: they come late, with
 * gaps, and expire. Holds at most {@code maxBlocks} pairs of block and engine; the pair that was
 * not touched for the longest time goes first.
 */
final class PrefixIndex {
    private final int maxBlocks;
    private final long ttlMillis;
    private final LinkedHashMap<Pair, Long> touched = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Long, Set<EndpointId>> holders = new HashMap<>();
    private final Map<EndpointId, Long> sequences = new HashMap<>();

    PrefixIndex(int maxBlocks, long ttlMillis) {
        this.maxBlocks = maxBlocks;
        this.ttlMillis = ttlMillis;
    }

    /** Returns how many pairs are held. */
    int size() {
        return touched.size();
    }

    /** Notes that {@code endpoint} is about to have read {@code blocks}. */
    void expect(long now, EndpointId endpoint, long[] blocks) {
        for (long b : blocks) {
            put(now, endpoint, b);
        }
    }

    /**
     * Applies an event.
     *
     * @return whether events before it were missed, so that a snapshot has to be asked for
     */
    boolean apply(long now, PolicyInput.CacheEvent event) {
        Long last = sequences.get(event.endpoint());
        if (last != null && event.sequence() <= last) {
            return false;
        }
        sequences.put(event.endpoint(), event.sequence());
        for (long b : event.removed()) {
            remove(event.endpoint(), b);
        }
        for (long b : event.stored()) {
            put(now, event.endpoint(), b);
        }
        return last != null && event.sequence() != last + 1;
    }

    /** Replaces all that is known of an engine. */
    void apply(long now, PolicyInput.CacheSnapshot snapshot) {
        forget(snapshot.endpoint());
        sequences.put(snapshot.endpoint(), snapshot.sequence());
        for (long b : snapshot.blocks()) {
            put(now, snapshot.endpoint(), b);
        }
    }

    /** Forgets an engine. */
    void forget(EndpointId endpoint) {
        sequences.remove(endpoint);
        touched.keySet()
                .removeIf(
                        p -> {
                            boolean match = p.endpoint.equals(endpoint);
                            if (match) {
                                unlink(p);
                            }
                            return match;
                        });
    }

    /** Returns for each engine that has some how many leading blocks of {@code prefix} it has. */
    Map<EndpointId, Integer> match(long now, long[] prefix) {
        Map<EndpointId, Integer> depth = new HashMap<>();
        for (int i = 0; i < prefix.length; i++) {
            boolean any = false;
            for (EndpointId e : holders.getOrDefault(prefix[i], Set.of())) {
                if (depth.getOrDefault(e, 0) == i && isFresh(now, e, prefix[i])) {
                    depth.put(e, i + 1);
                    any = true;
                }
            }
            if (!any) {
                break;
            }
        }
        return depth;
    }

    private boolean isFresh(long now, EndpointId endpoint, long block) {
        Long at = touched.get(new Pair(block, endpoint));
        return at != null && now - at <= ttlMillis;
    }

    private void put(long now, EndpointId endpoint, long block) {
        touched.put(new Pair(block, endpoint), now);
        holders.computeIfAbsent(block, b -> new HashSet<>()).add(endpoint);
        if (touched.size() > maxBlocks) {
            Pair eldest = touched.keySet().iterator().next();
            touched.remove(eldest);
            unlink(eldest);
        }
    }

    private void remove(EndpointId endpoint, long block) {
        Pair p = new Pair(block, endpoint);
        if (touched.remove(p) != null) {
            unlink(p);
        }
    }

    private void unlink(Pair p) {
        Set<EndpointId> set = holders.get(p.block);
        if (set != null && set.remove(p.endpoint) && set.isEmpty()) {
            holders.remove(p.block);
        }
    }

    private record Pair(long block, EndpointId endpoint) {}
}
