package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ModelId;
import java.util.List;

/** Event that a stripe handles. */
public sealed interface GenerationInput {

    /**
     * A caller requests the answer to a request, for the first time or after a reconnect.
     *
     * @param caller id of the caller's connection; unique within one process
     * @param spec the generation to start when no router knows the request; its id is new
     * @param after the position of the caller, null when it has no tokens
     * @param keyed whether the caller chose the key, so that other routers may know it
     */
    record Attach(long caller, GenerationSpec spec, Position after, boolean keyed)
            implements GenerationInput {}

    /** A caller's connection was closed. */
    record Detach(long caller) implements GenerationInput {}

    /** A slot at {@code endpoint} is reserved for the attempt. */
    record SlotGranted(GenerationId generation, int attempt, EndpointId endpoint)
            implements GenerationInput {}

    /**
     * The request for a slot was refused.
     *
     * @param generation the generation
     * @param attempt number of the attempt that requested the slot
     * @param failure the reason; NO_ENDPOINT when no endpoint runs the pinned version
     * @param otherVersion a version of the same model that an endpoint runs, null when none does
     */
    record SlotRefused(GenerationId generation, int attempt, Failure failure, ModelId otherVersion)
            implements GenerationInput {}

    /**
     * An engine sent tokens.
     *
     * @param generation the generation
     * @param attempt number of the attempt that the stream belongs to
     * @param offset the position of the first token in the whole answer
     * @param run the tokens, may be empty
     * @param end how the answer ended, null when more tokens follow
     */
    record Chunk(GenerationId generation, int attempt, int offset, TokenRun run, Outcome end)
            implements GenerationInput {}

    /** An attempt's stream ended before the answer was complete. */
    record AttemptFailed(GenerationId generation, int attempt, AttemptEnd cause, String detail)
            implements GenerationInput {}

    /**
     * Another stripe found that no stream of the endpoint makes progress, so attempts of this
     * stripe that still wait for their first token there will not get it.
     */
    record EndpointSilent(EndpointId endpoint) implements GenerationInput {}

    /** Urgent work needs the slot of the generation. */
    record Suspend(GenerationId generation) implements GenerationInput {}

    /** The routers of the deployment, including this one, according to settings or membership. */
    record Routers(List<HostInfo> hosts) implements GenerationInput {}

    /** Membership confirmed that a router is dead or has left. */
    record RouterDown(HostId host) implements GenerationInput {}

    /**
     * A message from a stripe of another router arrived.
     *
     * @param from the sending router
     * @param incarnation the process that sent it; a message of an incarnation lower than the
     *     highest known one is ignored
     * @param message the message
     */
    record Message(HostId from, long incarnation, BuddyMessage message)
            implements GenerationInput {}

    /**
     * A quarantine began ({@code on}) or ended: requests with this content are refused meanwhile.
     */
    record Quarantined(Fingerprint fingerprint, boolean on) implements GenerationInput {}

    /**
     * The router drains: no new generation starts, running ones finish or move to their buddies.
     *
     * @param deadlineMillis time on the clock of the state machine at which generations that still
     *     have callers at this router move too
     */
    record Drain(long deadlineMillis) implements GenerationInput {}

    /** Lets timeouts expire. Expected every few tens of milliseconds. */
    record Tick() implements GenerationInput {}
}
