package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.HostId;

/** Action that a {@link Dispatcher} requests from its owner. */
public sealed interface PolicyEffect {

    /**
     * Starts the request on the endpoint, or resumes it there when it was suspended.
     *
     * @param ticket the request
     * @param endpoint the endpoint to run it on
     */
    record Start(long ticket, EndpointId endpoint) implements PolicyEffect {}

    /**
     * Refuses the request: it was not run or, after a suspension, is not continued.
     *
     * @param ticket the request
     * @param failure result code and detail for the caller
     * @param retryAfterMillis time after which the caller should retry
     */
    record Refuse(long ticket, Failure failure, long retryAfterMillis) implements PolicyEffect {}

    /**
     * Answers the request with the outcome of an equal one that is waiting or running.
     *
     * @param ticket the request, which the dispatcher no longer tracks
     * @param leader the ticket of the equal one
     */
    record Join(long ticket, long leader) implements PolicyEffect {}

    /**
     * Cancels the attempt of a generation but keeps its journal. The owner answers with {@link
     * PolicyInput.Suspended} or {@link PolicyInput.Finished}.
     *
     * @param ticket the generation
     */
    record Suspend(long ticket) implements PolicyEffect {}

    /**
     * Sends a message to another router; the message may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(HostId to, PolicyMessage message) implements PolicyEffect {}

    /**
     * Requests a snapshot of the prefix cache of an engine.
     *
     * @param endpoint the engine
     */
    record RequestCacheSnapshot(EndpointId endpoint) implements PolicyEffect {}
}
