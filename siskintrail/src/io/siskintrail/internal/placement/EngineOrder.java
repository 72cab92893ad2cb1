package io.siskintrail.internal.placement;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.EndpointId;

/**
 * Orders an engine to hold an assignment. The order is idempotent.
 *
 * @param engine the engine that the order is sent to
 * @param assignment the model that the engine has to hold, and its role
 * @param fencingToken increases with each leader; engines that check it reject a token lower than
 *     the highest that they have seen
 * @param sendDeadlineMillis the monotonic time in milliseconds from which on the order must no
 *     longer be sent
 */
public record EngineOrder(
        EndpointId engine,
        EngineAssignment assignment,
        LogPosition fencingToken,
        long sendDeadlineMillis) {}
