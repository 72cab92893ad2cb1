package io.siskintrail.internal.ledger;

/**
 * Bounds of the ledger. All replicas must use the same.
 *
 * @param maxRecords records of all states together
 * @param maxAnswerBytes the largest body that is kept
 * @param maxTotalAnswerBytes all kept bodies together
 * @param claimMillis how long a claim holds without a dispatch
 * @param minUnknownMillis the shortest retention of an unknown order; longer than a router may
 *     hesitate between the commit of a dispatch and the call
 * @param maxRetentionMillis the longest retention
 */
public record LedgerLimits(
        int maxRecords,
        int maxAnswerBytes,
        long maxTotalAnswerBytes,
        long claimMillis,
        long minUnknownMillis,
        long maxRetentionMillis) {
    private static final long MINUTE_MILLIS = 60_000;
    private static final long DAY_MILLIS = 24 * 60 * MINUTE_MILLIS;

    /** The bounds that a deployment runs with. */
    public static final LedgerLimits DEFAULT =
            new LedgerLimits(
                    200_000, 64 << 10, 16L << 20, 15_000, 5 * MINUTE_MILLIS, 30 * DAY_MILLIS);

    long retention(long asked) {
        return Math.max(0, Math.min(maxRetentionMillis, asked));
    }
}
