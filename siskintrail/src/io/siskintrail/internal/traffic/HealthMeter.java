package io.siskintrail.internal.traffic;

/**
 * Judges an endpoint by what a host sees of its own requests: how many fail, how long they take,
 * and whether it can be reached at all. Answers endpoints that fail part of their requests while
 * their health check is good: they get less work in proportion, and an endpoint without recent
 * requests is slowly forgiven, so that it is tried again.
 */
public final class HealthMeter {
    /** How long what was seen counts, in milliseconds; about the time of a few probes a second. */
    private static final double MEMORY_MILLIS = 3_000;

    /** The first pause after an endpoint could not be reached, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 250;

    /** The longest pause between two tries of an unreachable endpoint, in milliseconds. */
    private static final long LONGEST_PAUSE_MILLIS = 2_000;

    /** The weight of the newest latency among earlier ones. */
    private static final double LATENCY_WEIGHT = 0.2;

    private double successes;
    private double failures;
    private double latencyMillis;
    private long decayedAt = Long.MIN_VALUE;
    private long pauseMillis;
    private long pausedUntil = Long.MIN_VALUE;
    private long lastGoodAt = Long.MIN_VALUE;

    /** Notes a complete answer after {@code millis}. */
    public void succeeded(long nowMillis, long millis) {
        decay(nowMillis);
        successes += 1;
        latencyMillis =
                latencyMillis == 0
                        ? millis
                        : latencyMillis + LATENCY_WEIGHT * (millis - latencyMillis);
        heard(nowMillis);
    }

    /** Notes that the endpoint sent something useful. */
    public void heard(long nowMillis) {
        lastGoodAt = nowMillis;
        pauseMillis = 0;
        pausedUntil = Long.MIN_VALUE;
    }

    /** Notes a request that the endpoint failed although it can be reached. */
    public void failed(long nowMillis) {
        decay(nowMillis);
        failures += 1;
    }

    /**
     * Notes that the endpoint cannot be reached or has gone silent; pauses it for longer each time.
     */
    public void unreachable(long nowMillis) {
        failed(nowMillis);
        if (nowMillis < pausedUntil) {
            return;
        }
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, Math.max(FIRST_PAUSE_MILLIS, 2 * pauseMillis));
        pausedUntil = nowMillis + pauseMillis;
    }

    /** Returns whether the endpoint is not to be tried now if there are others. */
    public boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntil;
    }

    /** Returns until when it is paused; {@code Long.MIN_VALUE} when it is not. */
    public long pausedUntil() {
        return pausedUntil;
    }

    /** Returns when something useful came last; {@code Long.MIN_VALUE} when nothing did. */
    public long lastHeardAt() {
        return lastGoodAt;
    }

    /** Returns whether something useful came in the last {@code millis}. */
    public boolean wasHeardWithin(long nowMillis, long millis) {
        return lastGoodAt != Long.MIN_VALUE && nowMillis - lastGoodAt <= millis;
    }

    /** Returns the share of recent requests that failed, 0 when there were none. */
    public double failureShare(long nowMillis) {
        decay(nowMillis);
        return failures / (successes + failures + 1);
    }

    /** Returns the smoothed latency in milliseconds, {@code ifUnknown} before the first answer. */
    public double latencyMillis(double ifUnknown) {
        return latencyMillis == 0 ? ifUnknown : latencyMillis;
    }

    private void decay(long nowMillis) {
        if (decayedAt != Long.MIN_VALUE && nowMillis > decayedAt) {
            double keep = Math.exp((decayedAt - nowMillis) / MEMORY_MILLIS);
            successes *= keep;
            failures *= keep;
        }
        decayedAt = nowMillis;
    }
}
