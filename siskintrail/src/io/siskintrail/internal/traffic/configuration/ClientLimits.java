package io.siskintrail.internal.traffic.configuration;

/**
 * Limits on the requests and connections of a client.
 *
 * @param maxHeaderBytes the maximum size of request line and headers together
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis how long a client may take to send the request headers
 * @param idleTimeoutMillis how long a connection may stay open without a request
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    private static final int KIB = 1024;

    /** Limits that apply until the first configuration is received. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16 * KIB, 4 * KIB * KIB, 3_000, 15_000);
}
