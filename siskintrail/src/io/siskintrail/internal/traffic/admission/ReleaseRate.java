package io.siskintrail.internal.traffic.admission;

/**
 * Estimates queue waiting times from the recent rate at which endpoints became free to run another
 * request. In a burst, requests that would wait too long are rejected on arrival, and clients can
 * be told to retry after the estimated wait. Not thread-safe.
 */
public final class ReleaseRate {
    /** Time constant of the exponential decay of observed releases. */
    private static final double DECAY_MILLIS = 3_000;

    private final double initialReleasesPerMilli;

    /** Observation time with the same decay, from 0 to at most {@link #DECAY_MILLIS}. */
    private double observedMillis;

    /** Number of observed releases; each counts less the longer ago it was. */
    private double decayedReleases;

    /** When the decay was last applied; {@code Long.MIN_VALUE} before the first call. */
    private long decayedAt = Long.MIN_VALUE;

    /**
     * Creates an estimate that moves from an initial rate to the observed one.
     *
     * @param initialReleasesPerSecond the number of releases per second to assume until releases
     *     have been observed for long enough; above 0
     */
    public ReleaseRate(double initialReleasesPerSecond) {
        this.initialReleasesPerMilli = initialReleasesPerSecond / 1_000;
    }

    /**
     * Records that an endpoint became free to run one more request.
     *
     * @param nowMillis monotonic time
     */
    public void recordRelease(long nowMillis) {
        decay(nowMillis);
        decayedReleases += 1;
    }

    /**
     * Returns the expected time in milliseconds until a queued request can start.
     *
     * @param nowMillis monotonic time
     * @param position the position of the request in the queue; 1 is the head
     */
    public double expectedWaitMillis(long nowMillis, int position) {
        decay(nowMillis);
        double expectedReleases =
                decayedReleases + initialReleasesPerMilli * (DECAY_MILLIS - observedMillis);
        return position * DECAY_MILLIS / Math.max(expectedReleases, initialReleasesPerMilli);
    }

    private void decay(long nowMillis) {
        if (decayedAt != Long.MIN_VALUE && nowMillis > decayedAt) {
            double decayFactor = Math.exp((decayedAt - nowMillis) / DECAY_MILLIS);
            decayedReleases *= decayFactor;
            observedMillis = DECAY_MILLIS - (DECAY_MILLIS - observedMillis) * decayFactor;
        }
        decayedAt = nowMillis;
    }
}
