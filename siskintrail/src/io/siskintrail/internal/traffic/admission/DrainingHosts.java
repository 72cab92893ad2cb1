package io.siskintrail.internal.traffic.admission;

import io.siskintrail.lib.HostId;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a client that a draining host turns away may come back. Load pattern: a rolling
 * restart that is faster than the hosts drain, so that most of them drain at the same time. A
 * client has few retries; one that returns at once then meets another host that drains. Not
 * thread-safe.
 */
public final class DrainingHosts {
    /** Retry-After while most hosts serve: the next attempt reaches one of them. */
    static final long SERVED_ELSEWHERE_MILLIS = 10;

    /** Time from the end of a process until its successor serves. */
    static final long RESTART_MILLIS = 800;

    /**
     * Share of hosts that must serve for a balancer to keep clients away from the others; with
     * fewer it sends them to any host.
     */
    private static final double SERVING_SHARE = 0.5;

    private final Map<HostId, Long> returnAtMillis = new HashMap<>();

    /**
     * Records that a host drains.
     *
     * @param millis how long it expects to drain, in milliseconds
     */
    public void recordDraining(HostId host, long nowMillis, long millis) {
        returnAtMillis.put(host, nowMillis + millis + RESTART_MILLIS);
    }

    /** Records that a host has ended, perhaps sooner than expected. */
    public void recordEnded(HostId host, long nowMillis) {
        returnAtMillis.computeIfPresent(host, (h, at) -> Math.min(at, nowMillis + RESTART_MILLIS));
    }

    /**
     * Returns the Retry-After of a request that this host turns away because it drains, in
     * milliseconds: until enough hosts serve again.
     *
     * @param hosts the number of hosts, this one included
     */
    public long retryAfterMillis(long nowMillis, int hosts) {
        returnAtMillis.values().removeIf(at -> at <= nowMillis);
        int serving = hosts - returnAtMillis.size();
        long missing = (long) Math.ceil(SERVING_SHARE * hosts) - serving;
        if (missing <= 0) {
            return SERVED_ELSEWHERE_MILLIS;
        }
        return returnAtMillis.values().stream()
                .sorted()
                .skip(missing - 1)
                .findFirst()
                .map(at -> at - nowMillis)
                .orElse(SERVED_ELSEWHERE_MILLIS);
    }
}
