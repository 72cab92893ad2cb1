package io.siskintrail.internal.traffic;

/**
 * Bounds how many further attempts a host adds to the requests of one service, as a share of those
 * requests. Answers a storm of failures: repeats stay a fraction of the load, so that they cannot
 * keep a service down. Needs no exchange between hosts, since each spends from its own requests.
 */
public final class RetryBudget {
    private final double ratio;
    private final double reserve;
    private final long windowMillis;
    private double tokens;
    private long at = Long.MIN_VALUE;

    /**
     * Makes a budget that starts with its reserve.
     *
     * @param ratio further attempts for each request
     * @param reserve the most attempts that can be saved up, and what there is at the start
     * @param windowMillis the time in which an idle budget fills up
     */
    public RetryBudget(double ratio, double reserve, long windowMillis) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.windowMillis = windowMillis;
        this.tokens = reserve;
    }

    /** Notes the first attempt of a request. */
    public void requested() {
        tokens = Math.min(reserve, tokens + ratio);
    }

    /** Takes one further attempt from the budget; returns false when there is none. */
    public boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void refill(long nowMillis) {
        if (at != Long.MIN_VALUE) {
            tokens = Math.min(reserve, tokens + reserve * (nowMillis - at) / windowMillis);
        }
        at = nowMillis;
    }
}
