package io.siskintrail.internal.traffic.admission;

/**
 * Limits the further attempts (retries, hedges) that a host adds to the requests of one service
 * within any time window, to a share of the requests in that window plus a fixed reserve. Prevents
 * retry storms: further attempts stay a fraction of the load, so that they cannot keep a service
 * down. Needs no coordination between hosts, since each host's budget comes from its own requests.
 * Not thread-safe.
 */
public final class RetryBudget {
    /** Number of buckets in a window; a window is exact to a hundredth. */
    private static final int BUCKETS = 100;

    private final double ratio;
    private final long bucketMillis;

    /** Ring of counts by bucket; one more than in a window, as the oldest is only partly inside. */
    private final int[] requests = new int[BUCKETS + 1];

    private final int[] attempts = new int[BUCKETS + 1];
    private int requestSum;
    private int attemptSum;
    private long newestBucket = Long.MIN_VALUE;

    /**
     * Creates the budget of a service, without any requests yet.
     *
     * @param ratio further attempts that each request allows
     * @param windowMillis the length of the sliding window
     */
    public RetryBudget(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /** Records the first attempt of a request. */
    public void recordRequest(long nowMillis) {
        requests[advance(nowMillis)]++;
        requestSum++;
    }

    /**
     * Acquires one further attempt; returns false when the budget is exhausted.
     *
     * @param reserve further attempts allowed in a window in addition to the share of its requests
     */
    public boolean tryAcquire(long nowMillis, double reserve) {
        if (!hasLeft(nowMillis, reserve)) {
            return false;
        }
        attempts[indexOf(newestBucket)]++;
        attemptSum++;
        return true;
    }

    /** Returns whether a further attempt fits into a share, from 0 to 1, of what is allowed. */
    public boolean hasLeft(long nowMillis, double reserve, double share) {
        int current = advance(nowMillis);
        int oldest = (current + 1) % requests.length;
        int countedRequests = requestSum - requests[oldest];
        return attemptSum + 1 <= share * (ratio * countedRequests + reserve);
    }

    /** Records a further attempt that another budget allowed. */
    public void recordAttempt(long nowMillis) {
        attempts[advance(nowMillis)]++;
        attemptSum++;
    }

    /**
     * Returns an attempt that was acquired at {@code acquiredAtMillis} and reached no endpoint,
     * unless it has left the window.
     */
    public void release(long nowMillis, long acquiredAtMillis) {
        advance(nowMillis);
        long bucket = Math.floorDiv(acquiredAtMillis, bucketMillis);
        if (newestBucket - bucket < attempts.length && attempts[indexOf(bucket)] > 0) {
            attempts[indexOf(bucket)]--;
            attemptSum--;
        }
    }

    /** Returns the number of requests recorded in the window that ends now. */
    public int requests(long nowMillis) {
        advance(nowMillis);
        return requestSum;
    }

    /** Returns the number of further attempts recorded in the window that ends now. */
    public int attempts(long nowMillis) {
        advance(nowMillis);
        return attemptSum;
    }

    /** Returns whether {@link #tryAcquire} would acquire a further attempt. */
    public boolean hasLeft(long nowMillis, double reserve) {
        return hasLeft(nowMillis, reserve, 1);
    }

    /** Clears the buckets that have left the window; returns the index of the current bucket. */
    private int advance(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, bucketMillis);
        long first =
                newestBucket == Long.MIN_VALUE
                        ? bucket
                        : Math.max(newestBucket + 1, bucket - BUCKETS);
        for (long b = first; b <= bucket; b++) {
            int index = indexOf(b);
            requestSum -= requests[index];
            attemptSum -= attempts[index];
            requests[index] = 0;
            attempts[index] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
        return indexOf(newestBucket);
    }

    private int indexOf(long bucket) {
        return (int) Math.floorMod(bucket, (long) requests.length);
    }
}
