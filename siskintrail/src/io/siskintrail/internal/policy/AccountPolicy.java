package io.siskintrail.internal.policy;

import io.siskintrail.lib.Rank;

/**
 * Limits and weight of one client account over all routers together.
 *
 * @param weight its share against other backlogged accounts of a rank; above 0
 * @param requestsPerSecond new requests that are admitted
 * @param tokensPerSecond prompt and output tokens that are admitted
 * @param maxInFlight requests that wait or run at once
 * @param maxQueued requests that wait on one router
 * @param retryShare retries that it earns with each success
 * @param urgentQueueMillis the longest wait of urgent work, whatever the caller would accept
 * @param bulkQueueMillis the longest wait of bulk work
 */
public record AccountPolicy(
        double weight,
        double requestsPerSecond,
        double tokensPerSecond,
        int maxInFlight,
        int maxQueued,
        double retryShare,
        long urgentQueueMillis,
        long bulkQueueMillis) {

    /** An account without a rule of its own: equal weight and no limit but the queue's. */
    public static final AccountPolicy DEFAULT =
            new AccountPolicy(
                    1,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Integer.MAX_VALUE,
                    1_000,
                    0.1,
                    4_000,
                    60_000);

    /** Checks the ranges. */
    public AccountPolicy {
        if (!(weight > 0) || !(requestsPerSecond > 0) || !(tokensPerSecond > 0)) {
            throw new IllegalArgumentException("weight and rates must be above 0");
        }
    }

    /** Returns the longest wait of work of {@code rank}, in milliseconds. */
    public long queueMillis(Rank rank) {
        return rank == Rank.URGENT ? urgentQueueMillis : bulkQueueMillis;
    }

    /** Returns the same policy with another weight. */
    public AccountPolicy withWeight(double newWeight) {
        return new AccountPolicy(
                newWeight,
                requestsPerSecond,
                tokensPerSecond,
                maxInFlight,
                maxQueued,
                retryShare,
                urgentQueueMillis,
                bulkQueueMillis);
    }

    /** Returns the same policy with another bound of requests in flight. */
    public AccountPolicy withMaxInFlight(int most) {
        return new AccountPolicy(
                weight,
                requestsPerSecond,
                tokensPerSecond,
                most,
                maxQueued,
                retryShare,
                urgentQueueMillis,
                bulkQueueMillis);
    }
}
