package io.siskintrail.internal.policy;

/**
 * Limits how many requests an endpoint may run: a new or recovered one starts with one and doubles
 * with time, and one that fails is left alone for a while and then ramped up more slowly until a
 * request succeeds. So an endpoint that fails fast, and therefore looks idle, attracts no work.
 */
final class EndpointHealth {
    private static final long RAMP_STEP_MILLIS = 250;
    private static final long PROBE_STEP_MILLIS = 2_000;
    private static final int RAMP_START = 1;
    private static final long FIRST_COOLDOWN_MILLIS = 1_000;
    private static final int MAX_COOLDOWN_DOUBLINGS = 5;
    private static final int MAX_RAMP_DOUBLINGS = 20;

    private long rampFrom;
    private int failures;
    private long blockedUntil;

    EndpointHealth(long now, boolean ramp) {
        rampFrom = ramp ? now : Long.MIN_VALUE / 2;
        blockedUntil = Long.MIN_VALUE / 2;
    }

    /** Returns how many of {@code slots} may be used now. */
    int allowed(long now, int slots) {
        if (now < blockedUntil) {
            return 0;
        }
        long steps =
                failures > 0
                        ? (now - blockedUntil) / PROBE_STEP_MILLIS
                        : (now - rampFrom) / RAMP_STEP_MILLIS;
        if (steps >= MAX_RAMP_DOUBLINGS) {
            return slots;
        }
        return (int) Math.min(slots, (long) RAMP_START << steps);
    }

    /** Notes a success: a failing endpoint is ramped up again. */
    void succeeded(long now) {
        if (failures > 0) {
            failures = 0;
            rampFrom = now;
        }
    }

    /** Notes a failure: the endpoint is left alone, longer each time. */
    void failed(long now) {
        if (now < blockedUntil) {
            return;
        }
        int doublings = Math.min(failures, MAX_COOLDOWN_DOUBLINGS);
        blockedUntil = now + (FIRST_COOLDOWN_MILLIS << doublings);
        failures++;
    }
}
