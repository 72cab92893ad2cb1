package io.siskintrail.internal.policy;

/** Limits a rate; may go into debt, because other routers spend from it with a lag. */
final class TokenBucket {
    private static final double BURST_SECONDS = 1;

    private double rate;
    private double level;
    private long last;

    TokenBucket(double ratePerSecond, long now) {
        rate = ratePerSecond;
        level = ratePerSecond * BURST_SECONDS;
        last = now;
    }

    /** Takes over a new rate; the level stays, at most one burst. */
    void setRate(double ratePerSecond) {
        if (rate != ratePerSecond) {
            rate = ratePerSecond;
            level = Math.min(level, rate * BURST_SECONDS);
        }
    }

    /** Returns whether anything is left. */
    boolean allows(long now) {
        refill(now);
        return level > 0;
    }

    /** Takes {@code amount}, whether or not it is there. */
    void take(long now, double amount) {
        refill(now);
        level -= amount;
    }

    /** Returns after how many milliseconds something is left again. */
    long millisUntilAllowed(long now) {
        refill(now);
        return level > 0 ? 0 : (long) Math.ceil(-level / rate * 1000) + 1;
    }

    private void refill(long now) {
        if (Double.isInfinite(rate)) {
            level = Double.POSITIVE_INFINITY;
            return;
        }
        level = Math.min(rate * BURST_SECONDS, level + (now - last) / 1000.0 * rate);
        last = now;
    }
}
