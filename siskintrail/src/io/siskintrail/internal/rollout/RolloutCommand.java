package io.siskintrail.internal.rollout;

import io.siskintrail.lib.ServiceName;

/** A change of the rollouts that registries commit to their replicated log. */
public sealed interface RolloutCommand {

    /**
     * Starts a rollout.
     *
     * @param rollout the rollout, which runs; its number is one above that of the last rollout of
     *     the service
     */
    record Start(RolloutRecord rollout) implements RolloutCommand {}

    /**
     * Ends a rollout.
     *
     * @param service the service
     * @param number the number of the rollout
     * @param status how it ended; not running
     */
    record End(ServiceName service, long number, RolloutRecord.Status status)
            implements RolloutCommand {}
}
