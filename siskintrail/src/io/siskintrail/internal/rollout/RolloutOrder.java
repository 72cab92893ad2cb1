package io.siskintrail.internal.rollout;

import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.ServiceName;
import java.time.Duration;

/**
 * An operator's order to move the traffic of a service to endpoints of another version.
 *
 * @param service the service
 * @param to the version that is to receive the traffic; never empty
 * @param durationMillis time within which the rollout is to end, from 1 ms to 30 days
 */
public record RolloutOrder(ServiceName service, EndpointVersion to, long durationMillis) {
    private static final long MAX_DURATION_MILLIS = Duration.ofDays(30).toMillis();

    /**
     * Validates the order.
     *
     * @throws IllegalArgumentException if the version is empty or the duration outside its range
     */
    public RolloutOrder {
        if (to.isNone()) {
            throw new IllegalArgumentException("the version to roll out is empty");
        }
        if (durationMillis <= 0) {
            throw new IllegalArgumentException("the duration of the rollout is not above 0");
        }
        if (durationMillis > MAX_DURATION_MILLIS) {
            throw new IllegalArgumentException("the duration of the rollout exceeds 30 days");
        }
    }
}
