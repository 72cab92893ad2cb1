package io.siskintrail.internal.policy;

/** Estimates a rate per second with exponential decay. */
final class RateMeter {
    private final double timeConstantMillis;
    private double decayedSum;
    private long updatedAtMillis;

    /** Creates a meter that decays with the time constant {@code timeConstantMillis}. */
    RateMeter(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    void add(long now, double amount) {
        decay(now);
        decayedSum += amount;
    }

    /** Returns the amount per second. */
    double perSecond(long now) {
        decay(now);
        return decayedSum / timeConstantMillis * 1000;
    }

    private void decay(long now) {
        if (now > updatedAtMillis) {
            decayedSum *= Math.exp((updatedAtMillis - now) / timeConstantMillis);
            updatedAtMillis = now;
        }
    }
}
