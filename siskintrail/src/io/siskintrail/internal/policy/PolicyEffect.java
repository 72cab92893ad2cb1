package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.HostId;

/** What a {@link Dispatcher} wants done. */
public sealed interface PolicyEffect {

    /**
     * Start the request on the endpoint, or resume it there when it was suspended.
     *
     * @param ticket the request
     * @param endpoint where
     */
    record Start(long ticket, EndpointId endpoint) implements PolicyEffect {}

    /**
     * Tell the caller that the request did not run (or, after a suspension, does not go on).
     *
     * @param ticket the request
     * @param failure a numbered code and what was seen
     * @param retryAfterMillis when a new try makes sense
     */
    record Refuse(long ticket, Failure failure, long retryAfterMillis) implements PolicyEffect {}

    /**
     * Answer the request with the outcome of an equal one that is waiting or running.
     *
     * @param ticket the request, forgotten by the dispatcher from now on
     * @param leader the ticket of the equal one
     */
    record Join(long ticket, long leader) implements PolicyEffect {}

    /**
     * Cancel the attempt of a bulk generation but keep its journal; to be answered by {@link
     * PolicyInput.Suspended} or {@link PolicyInput.Finished}.
     *
     * @param ticket the generation
     */
    record Suspend(long ticket) implements PolicyEffect {}

    /**
     * Send a message to another router; it may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(HostId to, PolicyMessage message) implements PolicyEffect {}

    /**
     * Ask an engine for the whole content of its prefix cache.
     *
     * @param endpoint the engine
     */
    record RequestCacheSnapshot(EndpointId endpoint) implements PolicyEffect {}
}
