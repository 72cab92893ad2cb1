package io.siskintrail.internal.policy;

/** Estimates events per second with exponential decay. */
final class RateMeter {
    private final double tauMillis;
    private double level;
    private long last;

    /** Makes a meter that forgets with the time constant {@code tauMillis}. */
    RateMeter(double tauMillis) {
        this.tauMillis = tauMillis;
    }

    void add(long now, double amount) {
        decay(now);
        level += amount;
    }

    /** Returns amounts per second. */
    double perSecond(long now) {
        decay(now);
        return level / tauMillis * 1000;
    }

    private void decay(long now) {
        if (now > last) {
            level *= Math.exp((last - now) / tauMillis);
            last = now;
        }
    }
}
