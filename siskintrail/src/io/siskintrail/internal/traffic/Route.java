package io.siskintrail.internal.traffic;

import io.siskintrail.lib.ServiceName;
import java.util.List;

/**
 * A rule that leads requests of one host and path prefix to services.
 *
 * @param name the name that operators gave it
 * @param host the host of the requests, in lower case
 * @param pathPrefix the prefix of their paths; begins and ends with a slash
 * @param kind what may be repeated
 * @param services the services and their weights, at least one with a weight above zero
 * @param timeoutMillis how long a request may take before it gets a final answer
 * @param targetLatencyMillis within which time an answer, or the first event of one, is on time
 * @param targetGapMillis the longest pause between events of a stream that is on time; 0 if not set
 * @param rank how urgent its requests are, 0 first
 * @param maxAttempts the most endpoints that one request may be sent to
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may go on at another endpoint
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        List<WeightedService> services,
        long timeoutMillis,
        long targetLatencyMillis,
        long targetGapMillis,
        int rank,
        int maxAttempts,
        boolean anonymous,
        boolean resumable) {

    /** Copies the services. */
    public Route {
        services = List.copyOf(services);
    }

    /** Returns whether a request that may have run can be sent again. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Returns the service that {@code draw} falls on.
     *
     * @param draw a uniform number from 0 inclusive to 1 exclusive
     */
    public ServiceName pick(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService s : services) {
            left -= s.weight();
            if (left < 0 && s.weight() > 0) {
                return s.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
