package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Chooses the endpoint of a request by cached prompt blocks and load. */
final class Placement {
    private static final double BLOCK_TOKENS = 64;
    private static final double PROMPT_TOKENS_PER_MILLISECOND = 8;
    private static final double FULL_LOAD_COST_MILLIS = 40;

    private final EndpointTable endpoints;
    private final PrefixIndex prefixes;

    Placement(EndpointTable endpoints, PrefixIndex prefixes) {
        this.endpoints = endpoints;
        this.prefixes = prefixes;
    }

    /**
     * The cheapest endpoints for a request.
     *
     * @param usable cheapest endpoint with a usable slot, or null
     * @param best cheapest endpoint that has a usable slot or spare capacity, or null
     * @param gainMillis how much sooner {@code best} is expected to answer than {@code usable}
     */
    record Choice(EndpointState usable, EndpointState best, double gainMillis) {}

    /**
     * Compares the endpoints that serve a request by prompt computation time and load.
     *
     * @param usableSlots returns how many more requests this router may start on an endpoint now
     */
    Choice choose(long now, WorkItem work, ToIntFunction<EndpointState> usableSlots) {
        Map<EndpointId, Integer> cachedBlocksByEndpoint = Map.of();
        long[] prefixHashes = work.request.prefixHashes();
        if (prefixHashes.length > 0) {
            cachedBlocksByEndpoint = prefixes.matchingBlocks(now, prefixHashes);
        }
        EndpointState usable = null;
        EndpointState best = null;
        double usableCostMillis = Double.POSITIVE_INFINITY;
        double bestCostMillis = Double.POSITIVE_INFINITY;
        for (EndpointState e : endpoints.serving(work.request.target())) {
            boolean hasUsableSlot = usableSlots.applyAsInt(e) > 0;
            if (!hasUsableSlot && e.load(now) >= e.capacity(now)) {
                continue;
            }
            double costMillis =
                    costMillis(now, work, e, cachedBlocksByEndpoint.getOrDefault(e.info.id(), 0));
            if (hasUsableSlot && costMillis < usableCostMillis) {
                usableCostMillis = costMillis;
                usable = e;
            }
            if (costMillis < bestCostMillis) {
                bestCostMillis = costMillis;
                best = e;
            }
        }
        return new Choice(usable, best, usableCostMillis - bestCostMillis);
    }

    private double costMillis(long now, WorkItem work, EndpointState e, int cachedBlocks) {
        double uncachedTokens = Math.max(0, work.promptTokens - cachedBlocks * BLOCK_TOKENS);
        double loadRatio = (double) e.load(now) / e.info.slots();
        return uncachedTokens / PROMPT_TOKENS_PER_MILLISECOND
                + FULL_LOAD_COST_MILLIS * loadRatio * loadRatio;
    }
}
