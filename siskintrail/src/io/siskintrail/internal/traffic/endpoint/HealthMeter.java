package io.siskintrail.internal.traffic.endpoint;

/**
 * Measures the health of an endpoint from the requests of one host: how many fail, how long they
 * take, and whether the endpoint is reachable. Detects endpoints that fail part of their requests
 * although their health check passes: they get proportionally less load. Failures decay over time,
 * so that an endpoint without recent requests is tried again.
 */
public final class HealthMeter {
    /**
     * Time constant of the exponential decay; with a few probes a second it covers several probes.
     */
    private static final double DECAY_MILLIS = 3_000;

    /** Backoff after an endpoint was unreachable for the first time. */
    private static final long INITIAL_BACKOFF_MILLIS = 250;

    /** Maximum backoff between two attempts to use an unreachable endpoint. */
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    /** Weight of the newest latency in the moving average. */
    private static final double LATENCY_WEIGHT = 0.2;

    private double successes;
    private double failures;
    private double latencyMillis;
    private long decayedAt = Long.MIN_VALUE;
    private long backoffMillis;
    private long backoffUntil = Long.MIN_VALUE;
    private long lastActivityAt = Long.MIN_VALUE;
    private long suspectUntil = Long.MIN_VALUE;

    /** Records a complete answer that took {@code millis}. */
    public void recordSuccess(long nowMillis, long millis) {
        decay(nowMillis);
        successes += 1;
        latencyMillis =
                latencyMillis == 0
                        ? millis
                        : latencyMillis + LATENCY_WEIGHT * (millis - latencyMillis);
        recordActivity(nowMillis);
    }

    /** Records that the endpoint sent valid data; ends the backoff. */
    public void recordActivity(long nowMillis) {
        lastActivityAt = nowMillis;
        backoffMillis = 0;
        backoffUntil = Long.MIN_VALUE;
        suspectUntil = Long.MIN_VALUE;
    }

    /**
     * Records that the endpoint may be lost together with others of its failure domain, until it
     * sends data.
     *
     * @param untilMillis when the suspicion ends, in monotonic milliseconds
     */
    public void recordSuspicion(long untilMillis) {
        suspectUntil = Math.max(suspectUntil, untilMillis);
    }

    /** Returns whether the endpoint may be lost together with others of its failure domain. */
    public boolean isSuspect(long nowMillis) {
        return nowMillis < suspectUntil;
    }

    /** Records a failed request to an endpoint that is reachable. */
    public void recordFailure(long nowMillis) {
        decay(nowMillis);
        failures += 1;
    }

    /**
     * Records that the endpoint is unreachable or silent. Unless it is in backoff already, starts a
     * backoff twice as long as the last one, within the limits.
     */
    public void recordUnreachable(long nowMillis) {
        recordFailure(nowMillis);
        if (nowMillis < backoffUntil) {
            return;
        }
        backoffMillis =
                Math.min(MAX_BACKOFF_MILLIS, Math.max(INITIAL_BACKOFF_MILLIS, 2 * backoffMillis));
        backoffUntil = nowMillis + backoffMillis;
    }

    /** Returns whether the endpoint is in backoff and should not be used if there are others. */
    public boolean isInBackoff(long nowMillis) {
        return nowMillis < backoffUntil;
    }

    /** Returns when the backoff ends; {@code Long.MIN_VALUE} when there is none. */
    public long backoffUntil() {
        return backoffUntil;
    }

    /** Returns when valid data last arrived; {@code Long.MIN_VALUE} when none did. */
    public long lastActivityAt() {
        return lastActivityAt;
    }

    /** Returns whether valid data arrived in the last {@code millis}. */
    public boolean wasActiveWithin(long nowMillis, long millis) {
        return lastActivityAt != Long.MIN_VALUE && nowMillis - lastActivityAt <= millis;
    }

    /**
     * Returns the share of recent requests that failed, from 0 to below 1; 0 when there were none.
     */
    public double failureShare(long nowMillis) {
        decay(nowMillis);
        return failures / (successes + failures + 1);
    }

    /**
     * Returns the smoothed latency in milliseconds, or {@code ifUnknown} before the first answer.
     */
    public double latencyMillis(double ifUnknown) {
        return latencyMillis == 0 ? ifUnknown : latencyMillis;
    }

    private void decay(long nowMillis) {
        if (decayedAt != Long.MIN_VALUE && nowMillis > decayedAt) {
            double decayFactor = Math.exp((decayedAt - nowMillis) / DECAY_MILLIS);
            successes *= decayFactor;
            failures *= decayFactor;
        }
        decayedAt = nowMillis;
    }
}
