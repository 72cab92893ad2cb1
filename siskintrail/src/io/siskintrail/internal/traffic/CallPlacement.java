package io.siskintrail.internal.traffic;

import io.siskintrail.lib.FailureDomain;
import java.util.Collection;
import java.util.function.Predicate;

/**
 * Chooses the endpoint for a short call: the one with the least expected time, where failures count
 * as time. Answers endpoints that turn slow or fail a part of their requests, and keeps calls in
 * their own failure domain as long as that costs little time.
 */
public final class CallPlacement {
    /** Assumed latency of an endpoint that has not answered yet, in milliseconds. */
    private static final double UNKNOWN_LATENCY_MILLIS = 50;

    /** Time that a call may lose by staying in its failure domain, in milliseconds. */
    private static final double FOREIGN_DOMAIN_MILLIS = 30;

    /** Time that an endpoint counts as slower when the registry hears nothing of it. */
    private static final double SILENT_MILLIS = 400;

    /**
     * How much a share of failures that is 1 above that of the other endpoints adds, as a multiple
     * of the latency. The share is squared, so that a single failure is soon forgiven.
     */
    private static final double FAILURE_FACTOR = 24;

    private final FailureDomain home;

    /** Places calls from hosts in {@code home}. */
    public CallPlacement(FailureDomain home) {
        this.home = home;
    }

    /**
     * Returns the best endpoint, null when none is usable.
     *
     * @param endpoints the endpoints of the service
     * @param allowed false for those that this call was sent to before
     */
    public EndpointView choose(
            long nowMillis, Collection<EndpointView> endpoints, Predicate<EndpointView> allowed) {
        EndpointView best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        Failures failures = new Failures(nowMillis, endpoints);
        for (EndpointView e : endpoints) {
            if (!usable(e) || !allowed.test(e)) {
                continue;
            }
            double cost = cost(nowMillis, e, failures.excess(nowMillis, e));
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    private static boolean usable(EndpointView e) {
        EndpointState state = e.record().state();
        return state == EndpointState.READY || state == EndpointState.SILENT;
    }

    private double cost(long nowMillis, EndpointView e, double excess) {
        double latency = e.health().latencyMillis(UNKNOWN_LATENCY_MILLIS);
        double load = 1 + (double) e.running() / Math.max(1, e.record().slots());
        double failing = 1 + FAILURE_FACTOR * excess * excess;
        double cost = latency * load * failing;
        if (!e.record().domain().equals(home)) {
            cost += FOREIGN_DOMAIN_MILLIS;
        }
        if (e.record().state() == EndpointState.SILENT) {
            cost += SILENT_MILLIS;
        }
        long paused = e.health().pausedUntil() - nowMillis;
        return e.health().isPaused(nowMillis) ? cost + SILENT_MILLIS + paused : cost;
    }

    /** The failures of the usable endpoints of a service: some calls fail wherever they go. */
    private static final class Failures {
        private double sum;
        private int count;

        Failures(long nowMillis, Collection<EndpointView> endpoints) {
            for (EndpointView e : endpoints) {
                if (usable(e)) {
                    sum += e.health().failureShare(nowMillis);
                    count++;
                }
            }
        }

        /** Returns by how much more of its calls {@code e} fails than the others do. */
        double excess(long nowMillis, EndpointView e) {
            double own = e.health().failureShare(nowMillis);
            double others = count > 1 ? (sum - own) / (count - 1) : 0;
            return Math.max(0, own - others);
        }
    }
}
