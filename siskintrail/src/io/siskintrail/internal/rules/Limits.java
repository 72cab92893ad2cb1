package io.siskintrail.internal.rules;

/**
 * Request limits of one client account. Each of the three values applies to the sum over all
 * routers.
 *
 * @param requestsPerSecond maximum mean rate of requests; infinite when there is no limit
 * @param tokensPerSecond maximum mean rate of prompt and output tokens; infinite when there is no
 *     limit
 * @param inFlight maximum number of requests that run or wait at the same time; {@link
 *     Integer#MAX_VALUE} when there is no limit
 */
public record Limits(double requestsPerSecond, double tokensPerSecond, int inFlight) {

    /** No limits. */
    public static final Limits NONE =
            new Limits(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Integer.MAX_VALUE);
}
