package io.siskintrail.internal.placement;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.EndpointId;

/**
 * Orders an engine to load a model and to run in a role. The order is idempotent.
 *
 * @param engine the engine that the order is sent to
 * @param assignment the model that the engine has to load, and the role of the engine
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
