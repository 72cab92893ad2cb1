package io.siskintrail.internal.traffic.placement;

/**
 * Computes how long a registry batches the load reports of hosts before it relays them. Each report
 * goes to all hosts, so that without batching the number of messages would grow with the square of
 * the number of hosts. An interval that grows with the number of hosts keeps the message rate
 * constant, while the chance that two hosts choose the same engine within an interval falls with
 * the number of engines.
 */
public final class RelayInterval {
    /** Minimum batch interval; short compared to the prefill of a prompt. */
    private static final long MIN_INTERVAL_MILLIS = 25;

    /** Maximum batch interval; the prefill of a prompt takes about a second. */
    private static final long MAX_INTERVAL_MILLIS = 250;

    /** Messages a second that a registry relays, to all hosts together. */
    private static final long MESSAGES_PER_SECOND = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private RelayInterval() {}

    /**
     * Returns the batch interval in milliseconds.
     *
     * @param hosts the number of hosts that reports are relayed to
     */
    public static long batchMillis(int hosts) {
        long millis = hosts * MILLIS_PER_SECOND / MESSAGES_PER_SECOND;
        return Math.min(MAX_INTERVAL_MILLIS, Math.max(MIN_INTERVAL_MILLIS, millis));
    }
}
