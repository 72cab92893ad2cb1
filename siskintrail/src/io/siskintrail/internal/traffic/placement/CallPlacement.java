package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.FailureDomain;
import java.util.Collection;
import java.util.function.Predicate;

/**
 * Chooses the endpoint for a short call: the one with the lowest expected latency, where failures
 * add a latency penalty. Shifts load away from endpoints that become slow or fail part of their
 * requests, and keeps calls in the local failure domain as long as that costs little time.
 */
public final class CallPlacement {
    /** Latency assumed for an endpoint that has not answered yet. */
    private static final double DEFAULT_LATENCY_MILLIS = 50;

    /** Latency penalty of an endpoint in another failure domain. */
    private static final double REMOTE_DOMAIN_PENALTY_MILLIS = 30;

    /** Latency penalty of an endpoint from which the registry receives no reports. */
    private static final double SILENT_PENALTY_MILLIS = 400;

    /**
     * Penalty for a failure share that exceeds that of the other endpoints by 1, as a multiple of
     * the latency. The excess is squared, so that a single failure has little effect.
     */
    private static final double FAILURE_PENALTY_FACTOR = 24;

    private final FailureDomain localDomain;

    /** Creates a placement for calls from hosts in {@code localDomain}. */
    public CallPlacement(FailureDomain localDomain) {
        this.localDomain = localDomain;
    }

    /**
     * Returns the endpoint with the lowest expected latency, or null when none is usable.
     *
     * @param nowMillis monotonic time
     * @param endpoints the endpoints of the service
     * @param allowed returns false for endpoints to which this call was sent before
     */
    public EndpointView choose(
            long nowMillis, Collection<EndpointView> endpoints, Predicate<EndpointView> allowed) {
        EndpointView best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        FailureShares failures = new FailureShares(nowMillis, endpoints);
        for (EndpointView e : endpoints) {
            if (!e.acceptsRequests(nowMillis) || !allowed.test(e)) {
                continue;
            }
            double cost = cost(nowMillis, e, failures.excessShare(nowMillis, e));
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns the endpoint that {@link #choose} prefers, or null when it is not expected to answer
     * in less than {@code limitMillis} or is in backoff. A missing report or failed calls make an
     * endpoint less preferred, but its answers no slower.
     *
     * @param nowMillis monotonic time
     * @param endpoints the endpoints of the service
     * @param allowed returns false for endpoints to which this call was sent before
     * @param limitMillis how long the call takes without a further attempt, for example {@link
     *     #remainingMillis}
     */
    public EndpointView chooseSooner(
            long nowMillis,
            Collection<EndpointView> endpoints,
            Predicate<EndpointView> allowed,
            double limitMillis) {
        EndpointView best = choose(nowMillis, endpoints, allowed);
        boolean isSooner =
                best != null
                        && !best.health().isInBackoff(nowMillis)
                        && answerMillis(best) < limitMillis;
        return isSooner ? best : null;
    }

    /**
     * Returns how long the answer to a call is still expected to take, in milliseconds: the rest of
     * the usual latency, but at least as long as the call has taken already. The latter holds for a
     * call whose endpoint may have become slow or silent, of which nothing else is known.
     *
     * @param usualMillis the expected latency when the call was sent
     * @param elapsedMillis the time since then
     */
    public static double remainingMillis(double usualMillis, long elapsedMillis) {
        return Math.max(usualMillis - elapsedMillis, elapsedMillis);
    }

    /** Returns the expected latency in milliseconds of a call to {@code endpoint}. */
    public static double expectedMillis(EndpointView endpoint) {
        return endpoint.health().latencyMillis(DEFAULT_LATENCY_MILLIS);
    }

    private double answerMillis(EndpointView e) {
        return loadedMillis(e) + domainPenaltyMillis(e);
    }

    private static double loadedMillis(EndpointView e) {
        double loadFactor = 1 + (double) e.running() / Math.max(1, e.record().slots());
        return expectedMillis(e) * loadFactor;
    }

    private double domainPenaltyMillis(EndpointView e) {
        return e.record().domain().equals(localDomain) ? 0 : REMOTE_DOMAIN_PENALTY_MILLIS;
    }

    private double cost(long nowMillis, EndpointView e, double excessFailureShare) {
        double failurePenalty =
                1 + FAILURE_PENALTY_FACTOR * excessFailureShare * excessFailureShare;
        double cost = loadedMillis(e) * failurePenalty + domainPenaltyMillis(e);
        if (e.record().state() == EndpointState.SILENT) {
            cost += SILENT_PENALTY_MILLIS;
        }
        long backoffLeftMillis = e.health().backoffUntil() - nowMillis;
        return e.health().isInBackoff(nowMillis)
                ? cost + SILENT_PENALTY_MILLIS + backoffLeftMillis
                : cost;
    }

    /** Failure shares of a service's usable endpoints: some calls fail at every endpoint. */
    private static final class FailureShares {
        private double sum;
        private int count;

        FailureShares(long nowMillis, Collection<EndpointView> endpoints) {
            for (EndpointView e : endpoints) {
                if (e.isServing()) {
                    sum += e.health().failureShare(nowMillis);
                    count++;
                }
            }
        }

        /**
         * Returns by how much the failure share of {@code e} exceeds the mean of the others, at
         * least 0.
         */
        double excessShare(long nowMillis, EndpointView e) {
            double own = e.health().failureShare(nowMillis);
            double othersMean = count > 1 ? (sum - own) / (count - 1) : 0;
            return Math.max(0, own - othersMean);
        }
    }
}
