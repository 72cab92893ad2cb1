package io.siskintrail.internal.rollout;

import java.util.Arrays;

/**
 * Cumulative counts of one {@link RolloutCell} since a host joined the rollout: failures, and
 * answers by bucket of latency. Immutable.
 */
public final class RolloutCount {
    /** Number of latency buckets. The last one also counts all longer latencies. */
    public static final int BUCKETS = 64;

    /** No requests. */
    public static final RolloutCount NONE = new RolloutCount(new long[BUCKETS + 1]);

    /** Buckets for each doubling, so that limits are exact to 19%; the last one starts at 55 s. */
    private static final int BUCKETS_PER_DOUBLING = 4;

    /** Answers by bucket, then failures. */
    private final long[] numbers;

    private RolloutCount(long[] numbers) {
        this.numbers = numbers;
    }

    /**
     * Returns the given counts.
     *
     * @param failed the requests that ended without a usable answer
     * @param latencies the answered requests by bucket; {@link #BUCKETS} numbers, copied
     */
    public static RolloutCount of(long failed, long[] latencies) {
        if (latencies.length != BUCKETS) {
            throw new IllegalArgumentException("buckets must be " + BUCKETS);
        }
        long[] numbers = Arrays.copyOf(latencies, BUCKETS + 1);
        numbers[BUCKETS] = failed;
        return new RolloutCount(numbers);
    }

    /**
     * Returns the bucket of a latency.
     *
     * @param millis the latency in milliseconds; at least 0
     */
    public static int bucketOf(long millis) {
        double doublings = Math.log(Math.max(1, millis)) / Math.log(2);
        return Math.min(BUCKETS - 1, (int) (doublings * BUCKETS_PER_DOUBLING));
    }

    /** Returns the number of requests that ended without a usable answer. */
    public long failed() {
        return numbers[BUCKETS];
    }

    /**
     * Returns the number of answers in a bucket.
     *
     * @param bucket the bucket, from 0 to {@code BUCKETS - 1}
     */
    public long answered(int bucket) {
        return numbers[bucket];
    }

    /** Returns the number of answered requests. */
    public long answered() {
        return answeredAbove(-1);
    }

    /**
     * Returns the number of answers in the buckets above one.
     *
     * @param bucket the bucket, from -1 to {@code BUCKETS - 1}
     */
    public long answeredAbove(int bucket) {
        long sum = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            sum += numbers[i];
        }
        return sum;
    }

    /**
     * Returns the bucket that holds a quantile of the latency.
     *
     * @param quantile from 0 to 1
     */
    public int quantileBucket(double quantile) {
        double rank = quantile * answered();
        long below = 0;
        int bucket = -1;
        do {
            bucket++;
            below += numbers[bucket];
        } while (below < rank && bucket < BUCKETS - 1);
        return bucket;
    }

    /** Returns these counts with one more failure. */
    public RolloutCount withFailure() {
        return withOneMore(BUCKETS);
    }

    /**
     * Returns these counts with one more answer.
     *
     * @param latencyMillis the latency in milliseconds; at least 0
     */
    public RolloutCount withAnswer(long latencyMillis) {
        return withOneMore(bucketOf(latencyMillis));
    }

    /**
     * Returns the growth since an earlier count of the same host incarnation.
     *
     * @param earlier the earlier count
     */
    public RolloutCount minus(RolloutCount earlier) {
        return combine(earlier, -1);
    }

    /**
     * Returns the sum of two counts.
     *
     * @param other the other count
     */
    public RolloutCount plus(RolloutCount other) {
        return combine(other, 1);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RolloutCount c && Arrays.equals(numbers, c.numbers);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(numbers);
    }

    private RolloutCount withOneMore(int index) {
        long[] next = numbers.clone();
        next[index]++;
        return new RolloutCount(next);
    }

    private RolloutCount combine(RolloutCount other, int sign) {
        long[] next = numbers.clone();
        for (int i = 0; i < next.length; i++) {
            next[i] += sign * other.numbers[i];
        }
        return new RolloutCount(next);
    }
}
