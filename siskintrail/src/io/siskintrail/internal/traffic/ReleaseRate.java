package io.siskintrail.internal.traffic;

/**
 * Estimates queue waiting times from the recent rate at which slots became free. With it, a request
 * of a burst that cannot start in time is rejected on arrival, with a realistic time to retry
 * after.
 */
public final class ReleaseRate {
    /** Time constant of the exponential decay of observed releases. */
    private static final double DECAY_MILLIS = 3_000;

    private final double initialPerMilli;
    private double observedMillis;
    private double releases;
    private long decayedAt = Long.MIN_VALUE;

    /**
     * Creates an estimate that starts from an assumed rate.
     *
     * @param initialPerSecond releases a second that are assumed where there are no observations
     */
    public ReleaseRate(double initialPerSecond) {
        this.initialPerMilli = initialPerSecond / 1_000;
    }

    /** Records that a slot became free. */
    public void recordRelease(long nowMillis) {
        decay(nowMillis);
        releases += 1;
    }

    /**
     * Returns the expected wait in milliseconds at queue position {@code position}, counted from 1.
     */
    public double expectedWaitMillis(long nowMillis, int position) {
        decay(nowMillis);
        double expectedReleases = releases + initialPerMilli * (DECAY_MILLIS - observedMillis);
        return position * DECAY_MILLIS / Math.max(expectedReleases, initialPerMilli);
    }

    private void decay(long nowMillis) {
        if (decayedAt != Long.MIN_VALUE && nowMillis > decayedAt) {
            double decayFactor = Math.exp((decayedAt - nowMillis) / DECAY_MILLIS);
            releases *= decayFactor;
            observedMillis = DECAY_MILLIS - (DECAY_MILLIS - observedMillis) * decayFactor;
        }
        decayedAt = nowMillis;
    }
}
