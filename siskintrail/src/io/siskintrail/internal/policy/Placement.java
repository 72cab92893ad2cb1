package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Chooses the endpoint of a request by what is cached there and by load. */
final class Placement {
    private static final double BLOCK_TOKENS = 64;
    private static final double PROMPT_TOKENS_PER_MILLI = 8;
    private static final double FULL_LOAD_MILLIS = 40;

    private final EndpointTable endpoints;
    private final PrefixIndex prefixes;

    Placement(EndpointTable endpoints, PrefixIndex prefixes) {
        this.endpoints = endpoints;
        this.prefixes = prefixes;
    }

    /**
     * The endpoints that suit a request.
     *
     * @param usable the best one among those with a usable slot, or null
     * @param best the best one among those that are not full
     * @param gainMillis how much sooner {@code best} would answer than {@code usable}
     */
    record Choice(EndpointState usable, EndpointState best, double gainMillis) {}

    /**
     * Weighs the endpoints of a request.
     *
     * @param usableSlots slots of an endpoint that this router may use now
     */
    Choice choose(long now, Work work, ToIntFunction<EndpointState> usableSlots) {
        Map<EndpointId, Integer> cached = Map.of();
        long[] prefix = work.request.prefix();
        if (prefix.length > 0) {
            cached = prefixes.match(now, prefix);
        }
        EndpointState usable = null;
        EndpointState best = null;
        double usableCost = Double.POSITIVE_INFINITY;
        double bestCost = Double.POSITIVE_INFINITY;
        for (EndpointState e : endpoints.serving(work.request.target())) {
            boolean free = usableSlots.applyAsInt(e) > 0;
            if (!free && e.load(now) >= e.capacity(now)) {
                continue;
            }
            double cost = cost(now, work, e, cached.getOrDefault(e.info.id(), 0));
            if (free && cost < usableCost) {
                usableCost = cost;
                usable = e;
            }
            if (cost < bestCost) {
                bestCost = cost;
                best = e;
            }
        }
        return new Choice(usable, best, usableCost - bestCost);
    }

    private double cost(long now, Work work, EndpointState e, int cachedBlocks) {
        double computed = Math.max(0, work.promptTokens - cachedBlocks * BLOCK_TOKENS);
        double share = (double) e.load(now) / e.info.slots();
        return computed / PROMPT_TOKENS_PER_MILLI + FULL_LOAD_MILLIS * share * share;
    }
}
