package io.siskintrail.internal.rules;

/**
 * What one client account may ask for. The three values hold for the account over all routers
 * together.
 *
 * @param requestsPerSecond mean rate of requests; infinite when there is no limit
 * @param tokensPerSecond mean rate of prompt and output tokens; infinite when there is no limit
 * @param inFlight requests that run or wait at once; {@link Integer#MAX_VALUE} for no limit
 */
public record Limits(double requestsPerSecond, double tokensPerSecond, int inFlight) {

    /** No limit at all. */
    public static final Limits NONE =
            new Limits(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Integer.MAX_VALUE);
}
