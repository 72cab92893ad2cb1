package io.siskintrail.internal.traffic;

/**
 * Bounds how many further attempts a host adds to the requests of one service within any window of
 * time, as a share of the requests in that window and a fixed reserve. Answers a storm of failures:
 * repeats stay a fraction of the load, so that they cannot keep a service down. Needs no exchange
 * between hosts, since each spends from its own requests. Not safe for use by several threads.
 */
public final class RetryBudget {
    /** Parts of a window that are counted apart; a window is exact to a hundredth. */
    private static final int PARTS = 100;

    private final double ratio;
    private final long partMillis;

    /** Counts by part of the window, one more than fit, since the oldest is only partly inside. */
    private final int[] requests = new int[PARTS + 1];

    private final int[] attempts = new int[PARTS + 1];
    private int requestSum;
    private int attemptSum;
    private long newest = Long.MIN_VALUE;

    /**
     * Makes a budget for a service without requests.
     *
     * @param ratio further attempts for each request
     * @param windowMillis the time in which requests and attempts are counted
     */
    public RetryBudget(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.partMillis = Math.max(1, windowMillis / PARTS);
    }

    /** Notes the first attempt of a request. */
    public void requested(long nowMillis) {
        requests[advance(nowMillis)]++;
        requestSum++;
    }

    /**
     * Takes one further attempt from the budget; returns false when there is none.
     *
     * @param reserve further attempts in a window beside the share of its requests
     */
    public boolean tryTake(long nowMillis, double reserve) {
        int now = advance(nowMillis);
        int oldest = (now + 1) % requests.length;
        int counted = requestSum - requests[oldest];
        if (attemptSum + 1 > ratio * counted + reserve) {
            return false;
        }
        attempts[now]++;
        attemptSum++;
        return true;
    }

    /** Forgets what has left the window, and returns the index of the present part. */
    private int advance(long nowMillis) {
        long part = Math.floorDiv(nowMillis, partMillis);
        long from = newest == Long.MIN_VALUE ? part : Math.max(newest + 1, part - PARTS);
        for (long p = from; p <= part; p++) {
            int index = index(p);
            requestSum -= requests[index];
            attemptSum -= attempts[index];
            requests[index] = 0;
            attempts[index] = 0;
        }
        newest = Math.max(newest, part);
        return index(newest);
    }

    private int index(long part) {
        return (int) Math.floorMod(part, (long) requests.length);
    }
}
