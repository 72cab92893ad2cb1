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

    private double cost(long nowMillis, EndpointView e, double excessFailureShare) {
        double latency = e.health().latencyMillis(DEFAULT_LATENCY_MILLIS);
        double loadFactor = 1 + (double) e.running() / Math.max(1, e.record().slots());
        double failurePenalty =
                1 + FAILURE_PENALTY_FACTOR * excessFailureShare * excessFailureShare;
        double cost = latency * loadFactor * failurePenalty;
        if (!e.record().domain().equals(localDomain)) {
            cost += REMOTE_DOMAIN_PENALTY_MILLIS;
        }
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
