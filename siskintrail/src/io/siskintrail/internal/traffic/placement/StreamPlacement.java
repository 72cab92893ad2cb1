package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
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
 *
 * <p>Built for engines of unequal speed and for many hosts with the same, slightly old view: see
 * {@link PromptPrefill}. An engine that turned a request of this host away as full is left out
 * until something newer is known of it.
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

    /** An engine with room and its cost in milliseconds. */
    private record Candidate(EndpointView engine, double cost) {}

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
        return choose(
                nowMillis,
                endpoints,
                spec,
                tokens,
                PromptPrefill.NONE,
                maxPrefillMillis,
                prefilledAt,
                allowed);
    }

    /**
     * Returns the engine to send a request to, as the method above does, with the speed of each
     * engine taken into account. With many hosts it is a random one of those that are nearly as
     * good as the best, so that hosts that decide at the same moment choose different ones.
     *
     * @param prefill the prefill that the request needs
     */
    public EndpointView choose(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec spec,
            long tokens,
            PromptPrefill prefill,
            long maxPrefillMillis,
            EndpointId prefilledAt,
            Predicate<EndpointView> allowed) {
        List<Candidate> candidates = new ArrayList<>();
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
            double cost =
                    cost(nowMillis, e, load, prefill)
                            + (isLocal ? 0 : REMOTE_DOMAIN_PENALTY_MILLIS);
            candidates.add(new Candidate(e, cost));
        }
        return pick(candidates, prefill.toleranceMillis(nowMillis));
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
        return chooseCopy(nowMillis, endpoints, spec, tokens, PromptPrefill.NONE, primary);
    }

    /**
     * Returns the engine to keep a copy, as the method above does; with many hosts a random one of
     * those that are nearly as good as the best.
     *
     * @param prefill the prefill that the request needed
     */
    public EndpointView chooseCopy(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec spec,
            long tokens,
            PromptPrefill prefill,
            EndpointView primary) {
        List<Candidate> candidates = new ArrayList<>();
        for (EndpointView e : endpoints) {
            PlacedLoad load = e.totalLoad(nowMillis);
            boolean inOtherDomain = !e.record().domain().equals(primary.record().domain());
            if (!inOtherDomain || !isUsable(nowMillis, e) || !hasRoom(load, spec, tokens)) {
                continue;
            }
            double cost =
                    cost(nowMillis, e, load, PromptPrefill.NONE)
                            + load.tokens() / COPY_TOKENS_PER_COST_MILLI;
            candidates.add(new Candidate(e, cost));
        }
        return pick(candidates, prefill.toleranceMillis(nowMillis));
    }

    /**
     * Returns a candidate whose cost exceeds the lowest by less than {@code toleranceMillis}, with
     * a weight that falls linearly to 0 there; null if there is no candidate.
     */
    private EndpointView pick(List<Candidate> candidates, double toleranceMillis) {
        Candidate best = null;
        for (Candidate c : candidates) {
            best = best == null || c.cost() < best.cost() ? c : best;
        }
        if (best == null || toleranceMillis <= 0) {
            return best == null ? null : best.engine();
        }
        double limit = best.cost() + toleranceMillis;
        double total = 0;
        for (Candidate c : candidates) {
            total += Math.max(0, limit - c.cost());
        }
        double remaining = random.getAsDouble() * total;
        for (Candidate c : candidates) {
            remaining -= Math.max(0, limit - c.cost());
            if (remaining < 0) {
                return c.engine();
            }
        }
        return best.engine();
    }

    /**
     * Returns the share of the memory that requests may fill which is in use on the usable engines,
     * over all hosts; 1 if no engine is usable.
     */
    static double usedMemoryShare(
            long nowMillis, Collection<EndpointView> endpoints, EngineSpec spec) {
        long usable = 0;
        long used = 0;
        for (EndpointView e : endpoints) {
            if (e.isServing() && !e.health().isInBackoff(nowMillis)) {
                usable += spec.memoryTokens();
                used += e.totalLoad(nowMillis).tokens();
            }
        }
        return usable == 0 ? 1 : used / (USABLE_MEMORY_SHARE * usable);
    }

    private static boolean isUsable(long nowMillis, EndpointView e) {
        return e.acceptsRequests(nowMillis)
                && !e.health().isInBackoff(nowMillis)
                && !e.hasRejectedRecently(nowMillis);
    }

    /** Returns whether an engine without any load has room for {@code tokens}. */
    public static boolean fitsEmptyEngine(EngineSpec spec, long tokens) {
        return tokens <= USABLE_MEMORY_SHARE * spec.memoryTokens();
    }

    private static boolean hasRoom(PlacedLoad load, EngineSpec spec, long tokens) {
        return spec == null
                || load.running() < spec.slots()
                        && load.tokens() + tokens <= USABLE_MEMORY_SHARE * spec.memoryTokens();
    }

    private double cost(long nowMillis, EndpointView e, PlacedLoad load, PromptPrefill prefill) {
        double cost = load.prefillMillis() + prefill.millis(nowMillis, e, load.running());
        double pause = RUNNING_STREAM_COST_MILLIS + prefill.pauseMillis(nowMillis);
        cost += pause * prefill.stepFactor(nowMillis, e) * load.running();
        cost += FAILURE_PENALTY_MILLIS * e.health().failureShare(nowMillis);
        cost += MAX_JITTER_MILLIS * random.getAsDouble();
        boolean silent = e.record().state() == EndpointState.SILENT;
        return silent ? cost + SILENT_PENALTY_MILLIS : cost;
    }
}
