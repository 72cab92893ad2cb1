package io.siskintrail.internal.traffic.endpoint;

import java.util.Collection;

/**
 * Keeps requests away from an overloaded endpoint for as long as it asked for. When the time is
 * over, one request tries whether the endpoint accepts again; only then do others follow, so that a
 * crowd of waiting requests does not overload it at once. Not thread-safe.
 */
public final class PushBack {
    private static final long NONE = Long.MIN_VALUE;

    private long endsAt = NONE;
    private boolean onTrial;

    /** Number of requests that may run beside a trial: those that are older than the push-back. */
    private int olderRequests;

    /**
     * Records that the endpoint asked for {@code millis} without requests.
     *
     * @param running how many requests of this host run there
     */
    public void record(long nowMillis, long millis, int running) {
        endsAt = Math.max(endsAt, nowMillis + millis);
        onTrial = true;
        olderRequests = running;
    }

    /** Records that the endpoint accepted a request; ends the trial after the push-back. */
    public void recordAccepted(long nowMillis) {
        if (!isActive(nowMillis)) {
            onTrial = false;
        }
    }

    /** Records that a request ended, after which {@code running} requests run there. */
    public void recordEnd(int running) {
        olderRequests = Math.min(olderRequests, running);
    }

    /** Returns whether the endpoint still asks for no requests. */
    public boolean isActive(long nowMillis) {
        return nowMillis < endsAt;
    }

    private long remainingMillis(long nowMillis) {
        return isActive(nowMillis) ? endsAt - nowMillis : 0;
    }

    /** Returns whether one more request may be sent beside the {@code running} ones. */
    public boolean admits(long nowMillis, int running) {
        return !isActive(nowMillis) && (!onTrial || running <= olderRequests);
    }

    /**
     * Returns for how many milliseconds none of the endpoints may be sent a request because all
     * that serve push back; 0 when one does not, or when none serves.
     */
    public static long remainingMillis(long nowMillis, Collection<EndpointView> endpoints) {
        return endpoints.stream()
                .filter(EndpointView::isServing)
                .mapToLong(e -> e.pushBack().remainingMillis(nowMillis))
                .min()
                .orElse(0);
    }
}
