package io.siskintrail.internal.placement;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.EndpointId;

/**
 * Tells an engine what to be. Repeats do no harm.
 *
 * @param engine the engine
 * @param target what it is to be
 * @param fence grows with each leader; engines that check it refuse a lower one than they have seen
 * @param notAfterMillis the monotonic time from which on the order must not be sent any more
 */
public record EngineOrder(
        EndpointId engine, Target target, LogPosition fence, long notAfterMillis) {}
