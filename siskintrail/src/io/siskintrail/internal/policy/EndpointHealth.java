package io.siskintrail.internal.policy;

/**
 * Limits the concurrent requests of an endpoint. The limit of a new or recovered endpoint starts at
 * one and doubles at a fixed interval. After a failure, the endpoint gets no requests during a
 * cooldown; then its limit doubles at a longer interval until a request succeeds. Without this
 * limit, an endpoint that fails fast looks idle and attracts requests.
 */
final class EndpointHealth {
    private static final long RAMP_DOUBLING_MILLIS = 250;
    private static final long RAMP_DOUBLING_AFTER_FAILURE_MILLIS = 2_000;
    private static final int RAMP_START_SLOTS = 1;
    private static final long FIRST_COOLDOWN_MILLIS = 1_000;
    private static final int MAX_COOLDOWN_DOUBLINGS = 5;
    private static final int MAX_RAMP_DOUBLINGS = 20;

    private long rampStartMillis;
    private int failures;
    private long cooldownEndMillis;

    EndpointHealth(long now, boolean ramp) {
        rampStartMillis = ramp ? now : Long.MIN_VALUE / 2;
        cooldownEndMillis = Long.MIN_VALUE / 2;
    }

    /** Returns how many of {@code slots} may be used now. */
    int allowedSlots(long now, int slots) {
        if (now < cooldownEndMillis) {
            return 0;
        }
        long elapsedDoublings =
                failures > 0
                        ? (now - cooldownEndMillis) / RAMP_DOUBLING_AFTER_FAILURE_MILLIS
                        : (now - rampStartMillis) / RAMP_DOUBLING_MILLIS;
        if (elapsedDoublings >= MAX_RAMP_DOUBLINGS) {
            return slots;
        }
        return (int) Math.min(slots, (long) RAMP_START_SLOTS << elapsedDoublings);
    }

    /** Records a success; if the endpoint was failing, its limit restarts at one. */
    void recordSuccess(long now) {
        if (failures > 0) {
            failures = 0;
            rampStartMillis = now;
        }
    }

    /**
     * Records a failure and starts a cooldown, which doubles with each failure in a row, up to 5
     * times. Failures during a cooldown are ignored.
     */
    void recordFailure(long now) {
        if (now < cooldownEndMillis) {
            return;
        }
        int doublings = Math.min(failures, MAX_COOLDOWN_DOUBLINGS);
        cooldownEndMillis = now + (FIRST_COOLDOWN_MILLIS << doublings);
        failures++;
    }
}
