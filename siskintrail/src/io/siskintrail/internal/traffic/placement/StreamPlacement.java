package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.Collection;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Chooses the engine for a long generation: of the engines with enough free KV cache memory, the
 * one with the lowest cost, which is an estimate of the time to the first event plus penalties, in
 * milliseconds. The cost includes the remaining prefill time, so that a burst of long prompts is
 * spread over the engines; prompts on the same engine delay each other and all other streams on it.
 * Streams stay in the local failure domain unless an engine in another domain is much faster: links
 * between domains occasionally lose packets, and traffic on them is expensive. Also chooses an
 * engine in another failure domain to keep a copy of the KV cache memory of a request, so that the
 * loss of a whole domain does not require another prefill.
 */
public final class StreamPlacement {
    /**
     * Share of the KV cache memory of an engine that requests may fill; without a reserve the
     * engine would preempt running requests.
     */
    private static final double USABLE_MEMORY_SHARE = 0.85;

    /** Cost added for each stream that is running on an engine. */
    private static final double RUNNING_STREAM_COST_MILLIS = 60;

    /**
     * Penalty of an engine in another failure domain. Less than the prefill time of a prompt, so
     * that a burst still spreads over the domains. Each packet that is lost between domains delays
     * an event, while a few more streams on an engine hardly slow down that engine.
     */
    private static final double REMOTE_DOMAIN_PENALTY_MILLIS = 600;

    /**
     * Penalty for a failure share of 1 (all recent requests failed); scaled by the actual share.
     */
    private static final double FAILURE_PENALTY_MILLIS = 4_000;

    /** Penalty of an engine from which the registry receives no reports. */
    private static final double SILENT_PENALTY_MILLIS = 3_000;

    /**
     * Upper bound of the random part of the cost. It makes hosts choose different engines among
     * equally loaded ones (no herding).
     */
    private static final double MAX_JITTER_MILLIS = 40;

    /**
     * Tokens in the memory of an engine that add one millisecond to its cost as holder of a copy.
     */
    private static final double COPY_TOKENS_PER_COST_MILLI = 20;

    private final FailureDomain localDomain;
    private final DoubleSupplier random;

    /**
     * Creates a placement for streams from hosts in {@code localDomain}.
     *
     * @param random a source of uniformly distributed numbers from 0 to below 1; the caller seeds
     *     it
     */
    public StreamPlacement(FailureDomain localDomain, DoubleSupplier random) {
        this.localDomain = localDomain;
        this.random = random;
    }

    /**
     * Returns the engine to send a request to: {@code prefilledAt} if possible, otherwise the one
     * with the lowest cost; null when no usable and allowed engine has room within the limits.
     *
     * @param nowMillis monotonic time
     * @param endpoints the engines of the service
     * @param spec the capacity of each engine; null when it is not configured, in which case every
     *     engine has room
     * @param tokens the KV cache memory that the request needs, in tokens
     * @param maxPrefillMillis the maximum remaining prefill time, in milliseconds, of the prompts
     *     that were placed on an engine before. When all engines exceed it, the request has to
     *     wait: otherwise a burst would pile up on the first engine that becomes available again
     * @param prefilledAt the engine that ran the prefill of this prompt, or null when unknown. If
     *     usable and allowed, this engine is chosen unless it is full, and {@code maxPrefillMillis}
     *     does not apply: the prompt takes no further memory on this engine
     * @param allowed returns false for engines that must not be used
     */
    public EndpointView choose(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec spec,
            long tokens,
            long maxPrefillMillis,
            EndpointId prefilledAt,
            Predicate<EndpointView> allowed) {
        EndpointView best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (EndpointView e : endpoints) {
            PlacedLoad load = e.totalLoad(nowMillis);
            if (!isUsable(nowMillis, e) || !allowed.test(e)) {
                continue;
            }
            if (e.record().id().equals(prefilledAt) && hasRoom(load, spec, 0)) {
                return e;
            }
            if (!hasRoom(load, spec, tokens)) {
                continue;
            }
            if (load.prefillMillis() > maxPrefillMillis) {
                continue;
            }
            boolean isLocal = e.record().domain().equals(localDomain);
            double cost = cost(nowMillis, e, load) + (isLocal ? 0 : REMOTE_DOMAIN_PENALTY_MILLIS);
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns how many requests like this one could be placed now, counting one for each engine
     * with room.
     *
     * @param nowMillis monotonic time
     * @param endpoints the engines of the service
     * @param spec the capacity of each engine; null when it is not configured, in which case every
     *     engine has room
     * @param tokens the KV cache memory that each request needs, in tokens
     * @param maxPrefillMillis the maximum remaining prefill time of an engine, in milliseconds
     * @param atMost the number from which on it does not matter how many more there are
     */
    public int countPlaces(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec spec,
            long tokens,
            long maxPrefillMillis,
            int atMost) {
        int places = 0;
        for (EndpointView e : endpoints) {
            if (places >= atMost) {
                break;
            }
            PlacedLoad load = e.totalLoad(nowMillis);
            if (isUsable(nowMillis, e)
                    && hasRoom(load, spec, tokens)
                    && load.prefillMillis() <= maxPrefillMillis) {
                places++;
            }
        }
        return places;
    }

    /**
     * Returns the engine to keep a copy of the memory of a request, or null when no usable engine
     * in another failure domain has room.
     *
     * @param nowMillis monotonic time
     * @param endpoints the engines of the service
     * @param spec the capacity of each engine; null when it is not configured, in which case every
     *     engine has room
     * @param tokens the KV cache memory of the request, in tokens
     * @param primary the engine that runs the request
     */
    public EndpointView chooseCopy(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec spec,
            long tokens,
            EndpointView primary) {
        EndpointView best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (EndpointView e : endpoints) {
            PlacedLoad load = e.totalLoad(nowMillis);
            boolean inOtherDomain = !e.record().domain().equals(primary.record().domain());
            if (!inOtherDomain || !isUsable(nowMillis, e) || !hasRoom(load, spec, tokens)) {
                continue;
            }
            double cost = cost(nowMillis, e, load) + load.tokens() / COPY_TOKENS_PER_COST_MILLI;
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    private static boolean isUsable(long nowMillis, EndpointView e) {
        return e.acceptsRequests(nowMillis) && !e.health().isInBackoff(nowMillis);
    }

    private static boolean hasRoom(PlacedLoad load, EngineSpec spec, long tokens) {
        return spec == null
                || load.running() < spec.slots()
                        && load.tokens() + tokens <= USABLE_MEMORY_SHARE * spec.memoryTokens();
    }

    private double cost(long nowMillis, EndpointView e, PlacedLoad load) {
        double cost = load.prefillMillis() + RUNNING_STREAM_COST_MILLIS * load.running();
        cost += FAILURE_PENALTY_MILLIS * e.health().failureShare(nowMillis);
        cost += MAX_JITTER_MILLIS * random.getAsDouble();
        boolean silent = e.record().state() == EndpointState.SILENT;
        return silent ? cost + SILENT_PENALTY_MILLIS : cost;
    }
}
