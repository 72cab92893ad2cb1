package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.Collection;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Chooses the engine for a long generation, first by free memory and then by the expected time to
 * the first event. Spreads bursts of long prompts, which delay each other and all other streams on
 * the same engine: a prompt goes where the remaining prefill time is lowest. Also chooses the
 * engine that keeps a copy of the memory, in another failure domain, so that the loss of a whole
 * domain does not require another prefill. Keeps streams in the local failure domain unless that
 * costs much latency: links between domains occasionally lose packets, and traffic on them is
 * expensive.
 */
public final class StreamPlacement {
    /** Share of an engine's memory that is used; the rest avoids preemption of running requests. */
    private static final double USABLE_MEMORY_SHARE = 0.85;

    /** Cost of each stream that is running on an engine. */
    private static final double RUNNING_STREAM_COST_MILLIS = 60;

    /**
     * Latency that a stream may lose by staying in the local failure domain: less than the prefill
     * of a prompt, so that a burst still spreads. Each event whose packet is lost between domains
     * is late, while a few more streams on an engine hardly slow it down.
     */
    private static final double REMOTE_DOMAIN_COST_MILLIS = 600;

    /** Cost of a failure share of 1. */
    private static final double FAILURE_COST_MILLIS = 4_000;

    /** Cost of an engine from which the registry receives no reports. */
    private static final double SILENT_COST_MILLIS = 3_000;

    /**
     * Random cost that makes hosts choose different ones of equally loaded engines (no herding).
     */
    private static final double MAX_JITTER_MILLIS = 40;

    /** Tokens in memory that cost as much as one millisecond when a copy is placed. */
    private static final double COPY_TOKENS_PER_MILLI = 20;

    private final FailureDomain localDomain;
    private final DoubleSupplier random;

    /**
     * Creates a placement for streams from hosts in {@code localDomain}.
     *
     * @param random a source of uniform numbers from 0 to 1, seeded by the owner
     */
    public StreamPlacement(FailureDomain localDomain, DoubleSupplier random) {
        this.localDomain = localDomain;
        this.random = random;
    }

    /**
     * Returns the engine with the lowest cost that has room for {@code tokens}, or null when there
     * is none.
     *
     * @param engine the properties of the engines; null when the service has none
     * @param maxPrefillMillis the maximum remaining prefill time of the prompts queued before this
     *     one; a request that finds no such engine waits for one, so that a burst does not pile up
     *     on the first engine that comes back
     * @param prefilledAt the engine that ran the prefill of this prompt; null when none is known.
     *     It is chosen unless it is full, whatever prefill is queued there: the prompt takes no
     *     further memory there
     * @param allowed returns false for engines that must not be used
     */
    public EndpointView choose(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec engine,
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
            if (e.record().id().equals(prefilledAt) && hasRoom(load, engine, 0)) {
                return e;
            }
            if (!hasRoom(load, engine, tokens)) {
                continue;
            }
            if (load.prefillMillis() > maxPrefillMillis) {
                continue;
            }
            boolean isLocal = e.record().domain().equals(localDomain);
            double cost = cost(nowMillis, e, load) + (isLocal ? 0 : REMOTE_DOMAIN_COST_MILLIS);
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns the engine that keeps the copy of a request that runs on {@code primary}, or null
     * when no usable engine in another failure domain has room.
     */
    public EndpointView chooseCopy(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec engine,
            long tokens,
            EndpointView primary) {
        EndpointView best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (EndpointView e : endpoints) {
            PlacedLoad load = e.totalLoad(nowMillis);
            boolean inOtherDomain = !e.record().domain().equals(primary.record().domain());
            if (!inOtherDomain || !isUsable(nowMillis, e) || !hasRoom(load, engine, tokens)) {
                continue;
            }
            double cost = cost(nowMillis, e, load) + load.tokens() / COPY_TOKENS_PER_MILLI;
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    private static boolean isUsable(long nowMillis, EndpointView e) {
        EndpointState state = e.record().state();
        boolean acceptsRequests = state == EndpointState.READY || state == EndpointState.SILENT;
        return acceptsRequests && !e.health().isInBackoff(nowMillis);
    }

    private static boolean hasRoom(PlacedLoad load, EngineSpec engine, long tokens) {
        return engine == null
                || load.running() < engine.slots()
                        && load.tokens() + tokens <= USABLE_MEMORY_SHARE * engine.memoryTokens();
    }

    private double cost(long nowMillis, EndpointView e, PlacedLoad load) {
        double cost = load.prefillMillis() + RUNNING_STREAM_COST_MILLIS * load.running();
        cost += FAILURE_COST_MILLIS * e.health().failureShare(nowMillis);
        cost += MAX_JITTER_MILLIS * random.getAsDouble();
        boolean silent = e.record().state() == EndpointState.SILENT;
        return silent ? cost + SILENT_COST_MILLIS : cost;
    }
}
