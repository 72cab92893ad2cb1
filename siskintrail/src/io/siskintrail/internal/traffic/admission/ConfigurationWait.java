package io.siskintrail.internal.traffic.admission;

/**
 * Decides how long a host without a configuration holds a request before it turns the request away.
 * Load pattern: all hosts start again at once, and clients return before the registries have chosen
 * a leader. A client has few retries, and its next one would meet another host in the same state.
 */
public final class ConfigurationWait {
    /** Longest wait: a start of all hosts takes less until the configuration arrives. */
    static final long MAX_MILLIS = 1_500;

    /** Share of the time to the deadline, so that the rest is enough to be served. */
    private static final double DEADLINE_SHARE = 1.0 / 3;

    /** Requests held at once, which bounds the burst when the configuration arrives. */
    static final int MAX_HELD = 512;

    private ConfigurationWait() {}

    /**
     * Returns how long to hold a request, in milliseconds; 0 to turn it away at once.
     *
     * @param remainingMillis the time to the deadline of the request
     * @param held how many requests are held already
     */
    public static long holdMillis(long remainingMillis, int held) {
        if (held >= MAX_HELD) {
            return 0;
        }
        return Math.max(0, Math.min(MAX_MILLIS, (long) (DEADLINE_SHARE * remainingMillis)));
    }
}
