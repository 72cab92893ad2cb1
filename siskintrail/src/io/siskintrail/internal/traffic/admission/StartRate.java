package io.siskintrail.internal.traffic.admission;

/**
 * Forecasts how long a request waits from the starts and ends of the requests of all hosts at a
 * service. Load pattern: many hosts that each start less than one stream per second, so that no
 * host knows the rate from its own requests. Starts measure the capacity while requests wait, ends
 * the capacity that becomes free; the highest of four averages counts, since a forecast that is too
 * long refuses requests that would have started in time. Not thread-safe.
 */
public final class StartRate {
    /** Time constant of the averages that follow a burst. */
    private static final double FAST_MILLIS = 1_000;

    /** Time constant of the averages that bridge the loss of a failure domain. */
    private static final double SLOW_MILLIS = 5_000;

    /** Observation time below which the rate counts as unknown. */
    private static final long MIN_OBSERVED_MILLIS = 1_000;

    /**
     * Lowest rate that is assumed, in starts per millisecond, so that a pause of all starts does
     * not lead to forecasts without bound.
     */
    private static final double MIN_RATE = 0.004;

    private static final int AVERAGES = 4;

    /** Decayed counts: starts and ends, each with the fast and the slow time constant. */
    private final double[] counts = new double[AVERAGES];

    private long firstAtMillis = Long.MIN_VALUE;
    private long decayedAtMillis;

    /**
     * Records what hosts did.
     *
     * @param nowMillis monotonic time
     * @param starts the number of requests that started, at least 0
     * @param ends the number of requests that ended, at least 0
     */
    public void record(long nowMillis, int starts, int ends) {
        if (starts == 0 && ends == 0) {
            return;
        }
        if (firstAtMillis == Long.MIN_VALUE) {
            firstAtMillis = nowMillis;
            decayedAtMillis = nowMillis;
        }
        decay(nowMillis);
        counts[0] += starts;
        counts[1] += ends;
        counts[2] += starts;
        counts[3] += ends;
    }

    /**
     * Returns the expected time in milliseconds until a waiting request can start; 0 while the rate
     * is unknown.
     *
     * @param nowMillis monotonic time
     * @param position the number of requests that go first
     */
    public double expectedWaitMillis(long nowMillis, int position) {
        if (firstAtMillis == Long.MIN_VALUE || nowMillis - firstAtMillis < MIN_OBSERVED_MILLIS) {
            return 0;
        }
        decay(nowMillis);
        double rate = MIN_RATE;
        for (int i = 0; i < AVERAGES; i++) {
            double elapsed = (nowMillis - firstAtMillis) / timeConstant(i);
            rate = Math.max(rate, counts[i] / (timeConstant(i) * (1 - Math.exp(-elapsed))));
        }
        return (position + 1) / rate;
    }

    private void decay(long nowMillis) {
        for (int i = 0; i < AVERAGES; i++) {
            counts[i] *= Math.exp((decayedAtMillis - nowMillis) / timeConstant(i));
        }
        decayedAtMillis = nowMillis;
    }

    private static double timeConstant(int index) {
        return index < AVERAGES / 2 ? FAST_MILLIS : SLOW_MILLIS;
    }
}
