package io.siskintrail.edge;

import io.siskintrail.service.SettingsException;
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
 * @param seeds {@code ip:port} addresses of some registries, from which the others are learned; the
 *     edge connects to {@code linkPort} instead of the port given here
 * @param graceSeconds time from the stop request to the end of the process, in seconds
 * @param outOfRotationSeconds time until the load balancer stops sending requests to a host that
 *     reports not ready, in seconds
 * @param retryRatio maximum ratio of retries to requests of a service, summed over all hosts and
 *     within one retry budget window
 * @param retryReserve retries to a service that all hosts together may make per retry budget window
 *     in addition to {@code retryRatio}
 * @param retryWindowSeconds the length of the retry budget window, in seconds
 * @param sharedOrderMinHosts the number of edges from which on requests that wait for engines are
 *     admitted in one order over all edges, retries are pooled, and engines are placed on by their
 *     speed and with room for copies; 1 to {@link #MAX_MIN_HOSTS}
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
        double retryWindowSeconds,
        long sharedOrderMinHosts) {
    /** Default of {@code sharedOrderMinHosts}: with fewer edges each sees enough by itself. */
    public static final long DEFAULT_MIN_HOSTS = 16;

    /** Maximum of {@code sharedOrderMinHosts}. */
    public static final long MAX_MIN_HOSTS = 100_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Makes a defensive copy of the seed list.
     *
     * @throws SettingsException if {@code sharedOrderMinHosts} is out of range
     */
    public EdgeSettings {
        if (sharedOrderMinHosts < 1 || sharedOrderMinHosts > MAX_MIN_HOSTS) {
            throw new SettingsException("sharedOrderMinHosts", "1 to " + MAX_MIN_HOSTS);
        }
        seeds = List.copyOf(seeds);
    }

    /** Creates settings with {@link #DEFAULT_MIN_HOSTS}. */
    public EdgeSettings(
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
        this(
                host,
                domain,
                ip,
                frontAddress,
                readinessAddress,
                linkPort,
                metricsPort,
                seeds,
                graceSeconds,
                outOfRotationSeconds,
                retryRatio,
                retryReserve,
                retryWindowSeconds,
                DEFAULT_MIN_HOSTS);
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
