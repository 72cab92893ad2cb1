package io.siskintrail.internal.traffic.configuration;

import io.siskintrail.lib.ServiceName;
import java.util.List;

/**
 * Rule that routes requests for one HTTP host and path prefix to services.
 *
 * @param name the name given by operators
 * @param host the requested host name, without a port and in lower case
 * @param pathPrefix the prefix of the request path; begins and ends with a slash
 * @param kind determines whether requests may be retried
 * @param services the target services with their weights, at least one of them above zero
 * @param timeoutMillis the deadline for the final answer to a request, from its arrival
 * @param targetLatencyMillis the latency target for an answer or for the first event of a stream
 * @param targetGapMillis the target for the maximum gap between events of a stream; 0 if not set
 * @param rank the priority of its requests; 0 is the most urgent
 * @param maxAttempts the maximum number of endpoints that one request may be sent to
 * @param anonymous whether requests are accepted without an API key
 * @param resumable whether a broken stream may be resumed at another endpoint
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

    /** Makes the list of services immutable. */
    public Route {
        services = List.copyOf(services);
    }

    /** Returns whether a request that may have been executed can be retried. */
    public boolean isRetryable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Returns the service that {@code draw} selects, with a probability in proportion to its
     * weight.
     *
     * @param draw a uniform number from 0 inclusive to 1 exclusive
     */
    public ServiceName chooseService(double draw) {
        int totalWeight = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = draw * totalWeight;
        for (WeightedService s : services) {
            remaining -= s.weight();
            if (remaining < 0 && s.weight() > 0) {
                return s.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
