package io.siskintrail.internal.policy;

/** Token bucket; its level may be negative because usage of other routers is charged with a lag. */
final class TokenBucket {
    private static final double BURST_SECONDS = 1;

    private double ratePerSecond;
    private double level;
    private long refilledAtMillis;

    TokenBucket(double initialRatePerSecond, long now) {
        ratePerSecond = initialRatePerSecond;
        level = initialRatePerSecond * BURST_SECONDS;
        refilledAtMillis = now;
    }

    /** Sets a new rate; the level is kept, up to the new burst size. */
    void setRate(double newRatePerSecond) {
        if (ratePerSecond != newRatePerSecond) {
            ratePerSecond = newRatePerSecond;
            level = Math.min(level, ratePerSecond * BURST_SECONDS);
        }
    }

    /** Returns whether the level is positive. */
    boolean allows(long now) {
        refill(now);
        return level > 0;
    }

    /** Takes {@code amount}, even if the level becomes negative. */
    void take(long now, double amount) {
        refill(now);
        level -= amount;
    }

    /** Returns the milliseconds until the level is positive; 0 when it is now. */
    long millisUntilAllowed(long now) {
        refill(now);
        return level > 0 ? 0 : (long) Math.ceil(-level / ratePerSecond * 1000) + 1;
    }

    private void refill(long now) {
        if (Double.isInfinite(ratePerSecond)) {
            level = Double.POSITIVE_INFINITY;
            return;
        }
        level =
                Math.min(
                        ratePerSecond * BURST_SECONDS,
                        level + (now - refilledAtMillis) / 1000.0 * ratePerSecond);
        refilledAtMillis = now;
    }
}
