package io.siskintrail.internal.policy;

import io.siskintrail.lib.Rank;

/**
 * Limits and weight of one client account, enforced across all routers.
 *
 * @param weight share relative to other backlogged accounts of the same rank; above 0
 * @param requestsPerSecond admission rate of new requests; above 0
 * @param tokensPerSecond admission rate of prompt and output tokens; above 0
 * @param maxInFlight maximum number of requests that are queued or run at once
 * @param maxQueued maximum number of queued requests on one router
 * @param retryShare retries added to the retry budget per successful request
 * @param urgentQueueMillis longest time in the queue for urgent work, even if the caller accepts
 *     more
 * @param bulkQueueMillis longest time in the queue for bulk work
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

    /** Policy of an account without its own rule: weight 1 and no limit except on the queue. */
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

    /** Checks that weight and rates are above 0. */
    public AccountPolicy {
        if (!(weight > 0) || !(requestsPerSecond > 0) || !(tokensPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "weight, requestsPerSecond and tokensPerSecond must be above 0");
        }
    }

    /** Returns the longest time in the queue for work of {@code rank}, in milliseconds. */
    public long maxQueueMillis(Rank rank) {
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

    /** Returns the same policy with another limit of requests in flight. */
    public AccountPolicy withMaxInFlight(int newMaxInFlight) {
        return new AccountPolicy(
                weight,
                requestsPerSecond,
                tokensPerSecond,
                newMaxInFlight,
                maxQueued,
                retryShare,
                urgentQueueMillis,
                bulkQueueMillis);
    }
}
