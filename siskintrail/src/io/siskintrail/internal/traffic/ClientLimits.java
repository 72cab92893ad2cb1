package io.siskintrail.internal.traffic;

/**
 * Bounds on what a client may send.
 *
 * @param maxHeaderBytes the most bytes of request line and headers
 * @param maxBodyBytes the most bytes of a body
 * @param headerTimeoutMillis how long a client may take to send its headers
 * @param idleTimeoutMillis how long a connection may be without a request
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    private static final int KIB = 1024;

    /** In force before the first configuration. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16 * KIB, 4 * KIB * KIB, 3_000, 15_000);
}
