package io.siskintrail.internal.traffic;

/**
 * Forecasts how long a queue lasts from how often places became free lately. Answers bursts: what
 * cannot start in time is turned away when it comes, and told when room is really expected.
 */
public final class ReleaseRate {
    /** How long what was seen counts, in milliseconds. */
    private static final double MEMORY_MILLIS = 3_000;

    private final double initialPerMilli;
    private double weight;
    private double releases;
    private long decayedAt = Long.MIN_VALUE;

    /**
     * Begins with an assumption.
     *
     * @param initialPerSecond the rate until something was seen
     */
    public ReleaseRate(double initialPerSecond) {
        this.initialPerMilli = initialPerSecond / 1_000;
    }

    /** Notes that a place became free. */
    public void released(long nowMillis) {
        decay(nowMillis);
        releases += 1;
    }

    /** Returns the expected wait in milliseconds of the one who is {@code position}th in line. */
    public double waitMillis(long nowMillis, int position) {
        decay(nowMillis);
        double seen = releases + initialPerMilli * (MEMORY_MILLIS - weight);
        return position * MEMORY_MILLIS / Math.max(seen, initialPerMilli);
    }

    private void decay(long nowMillis) {
        if (decayedAt != Long.MIN_VALUE && nowMillis > decayedAt) {
            double keep = Math.exp((decayedAt - nowMillis) / MEMORY_MILLIS);
            releases *= keep;
            weight = MEMORY_MILLIS - (MEMORY_MILLIS - weight) * keep;
        }
        decayedAt = nowMillis;
    }
}
