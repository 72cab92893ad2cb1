package io.siskintrail.edge;

import java.util.List;

/**
 * Settings of an edge.
 *
 * @param host the host name
 * @param domain the failure domain of the host
 * @param ip the local address for outgoing connections and for the metrics page
 * @param frontAddress {@code ip:port} on which clients connect
 * @param readinessAddress {@code ip:port} on which the load balancer checks readiness
 * @param linkPort the registry link port, the same on all hosts
 * @param metricsPort the port of the metrics page
 * @param seeds call addresses of some registries
 * @param graceSeconds time from the stop request to the end of the process
 * @param outOfRotationSeconds time until the load balancer stops sending requests to a host that
 *     reports not ready
 * @param retryRatio retries that all hosts together may add per request to a service
 * @param retryReserve retries per window that all hosts together may make beyond that ratio
 * @param retryWindowSeconds the length of the retry budget window
 */
public record EdgeSettings(
        String host,
        String domain,
        String ip,
        String frontAddress,
        String readinessAddress,
        int linkPort,
        int metricsPort,
        List<String> seeds,
        double graceSeconds,
        double outOfRotationSeconds,
        double retryRatio,
        double retryReserve,
        double retryWindowSeconds) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Makes a defensive copy of the seed list. */
    public EdgeSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns the time from the stop request to the end of the process, in milliseconds. */
    public long graceMillis() {
        return (long) (graceSeconds * MILLIS_PER_SECOND);
    }

    /**
     * Returns the time until the load balancer stops sending requests to a host that reports not
     * ready, in milliseconds.
     */
    public long outOfRotationMillis() {
        return (long) (outOfRotationSeconds * MILLIS_PER_SECOND);
    }

    /** Returns the length of the retry budget window, in milliseconds. */
    public long retryWindowMillis() {
        return (long) (retryWindowSeconds * MILLIS_PER_SECOND);
    }
}
