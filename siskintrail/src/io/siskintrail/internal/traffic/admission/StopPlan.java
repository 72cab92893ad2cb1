package io.siskintrail.internal.traffic.admission;

import io.siskintrail.internal.traffic.configuration.Route;
import io.siskintrail.internal.traffic.configuration.RouteKind;

/**
 * Decides which requests a host accepts while it drains, and when it may terminate. Made for
 * rolling restarts under load: clients keep arriving for some seconds, and a stream that is cut off
 * at the end of the grace period needs a second prefill elsewhere, so it is rejected before it runs
 * instead. An idle host does not terminate while the load balancer still sends clients to it: they
 * would find a closed port or be cut off. Clients that come although the host is out of rotation,
 * and streams that cannot go on elsewhere, are served only if they are answered for certain, that
 * is, if their deadline comes before the end of the grace period. Not thread-safe.
 */
public final class StopPlan {
    /** Duration assumed for streams until one has ended. */
    private static final double INITIAL_STREAM_MILLIS = 5_000;

    /** Weight of the newest duration in the moving average. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /**
     * Allowance for the spread of durations: most streams take less than this multiple of the mean.
     */
    private static final double STREAM_DURATION_FACTOR = 1.3;

    /** Time reserved for a short call, as a multiple of its target latency. */
    private static final double CALL_LATENCY_FACTOR = 2;

    private double meanStreamMillis = INITIAL_STREAM_MILLIS;
    private long outOfRotationAt = Long.MAX_VALUE;
    private long graceEndsAt = Long.MAX_VALUE;
    private boolean terminating;

    /** Records how long a stream took from arrival to end. */
    public void recordStreamDuration(long millis) {
        meanStreamMillis += SMOOTHING_WEIGHT * (millis - meanStreamMillis);
    }

    /**
     * Starts draining.
     *
     * @param outOfRotationAtMillis when the load balancer has stopped sending requests to this host
     * @param graceEndsAtMillis the end of the grace period, when running requests are cut off
     */
    public void startDraining(long outOfRotationAtMillis, long graceEndsAtMillis) {
        outOfRotationAt = Math.min(outOfRotationAtMillis, graceEndsAtMillis);
        graceEndsAt = graceEndsAtMillis;
    }

    /** Returns how long a host that begins to drain now will take, in milliseconds. */
    public long expectedDrainMillis(long nowMillis) {
        long streamsEndAt = nowMillis + (long) (STREAM_DURATION_FACTOR * meanStreamMillis);
        return Math.min(graceEndsAt, Math.max(outOfRotationAt, streamsEndAt)) - nowMillis;
    }

    /** Returns whether the host drains. */
    public boolean isDraining() {
        return graceEndsAt != Long.MAX_VALUE;
    }

    /** Returns whether a host with {@code running} requests may terminate now. */
    public boolean mayTerminate(long nowMillis, int running) {
        return nowMillis >= graceEndsAt || running == 0 && nowMillis >= outOfRotationAt;
    }

    /** Records that the host terminates: rejects all requests from now on. */
    public void markTerminating() {
        terminating = true;
    }

    /**
     * Returns whether a request can be answered in time if its processing starts now.
     *
     * @param deadlineAtMillis when the request ends at the latest
     */
    public boolean accepts(long nowMillis, Route route, long deadlineAtMillis) {
        if (terminating) {
            return false;
        }
        if (!isDraining()) {
            return true;
        }
        boolean isStream = route.kind() == RouteKind.STREAM;
        boolean needsCertainty = nowMillis >= outOfRotationAt || isStream && !route.resumable();
        if (needsCertainty && deadlineAtMillis > graceEndsAt) {
            return false;
        }
        double neededMillis =
                isStream
                        ? STREAM_DURATION_FACTOR * meanStreamMillis
                        : CALL_LATENCY_FACTOR * route.targetLatencyMillis();
        return nowMillis + neededMillis <= graceEndsAt;
    }
}
