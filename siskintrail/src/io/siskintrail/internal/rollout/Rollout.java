package io.siskintrail.internal.rollout;

import io.siskintrail.lib.ServiceName;
import java.util.Objects;

/**
 * A rollout of one version of a service.
 *
 * @param service the service
 * @param version the version that receives the traffic; not empty
 * @param durationMillis the time from the order to the deadline, in milliseconds; above 0
 * @param state the state
 */
public record Rollout(
        ServiceName service, String version, long durationMillis, RolloutState state) {
    /** Checks the values. */
    public Rollout {
        Objects.requireNonNull(service);
        Objects.requireNonNull(state);
        if (version.isEmpty()) {
            throw new IllegalArgumentException("version must not be empty");
        }
        if (durationMillis <= 0) {
            throw new IllegalArgumentException("duration must be above 0: " + durationMillis);
        }
    }

    /**
     * Returns this rollout in another state.
     *
     * @param next the state
     */
    public Rollout withState(RolloutState next) {
        return new Rollout(service, version, durationMillis, next);
    }
}
