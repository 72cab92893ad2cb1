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
     * @param spec the generation to start when no router knows the request; carries a newly created
     *     generation id
     * @param after the position after the last token that the caller received, null when the caller
     *     has received none
     * @param hasCallerKey whether the caller chose the request key; another router may then already
     *     run the request, and the other routers are asked first
     */
    record Attach(long caller, GenerationSpec spec, Position after, boolean hasCallerKey)
            implements GenerationInput {}

    /** The connection with id {@code caller}, see {@link Attach}, was closed. */
    record Detach(long caller) implements GenerationInput {}

    /** A slot at {@code endpoint} was reserved for attempt number {@code attempt}. */
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
     * @param offset number of tokens of the whole answer before the first token of {@code run}
     * @param run the tokens, may be empty
     * @param end how the answer ended, null when more tokens follow
     */
    record Chunk(GenerationId generation, int attempt, int offset, TokenRun run, Outcome end)
            implements GenerationInput {}

    /**
     * The stream of an attempt ended before the answer was complete.
     *
     * @param generation the generation
     * @param attempt number of the attempt
     * @param cause why the stream ended
     * @param detail description of the cause for people
     */
    record AttemptFailed(GenerationId generation, int attempt, AttemptEnd cause, String detail)
            implements GenerationInput {}

    /**
     * Another stripe found that no stream of the endpoint makes progress. Attempts of this stripe
     * that wait for their first token from the endpoint will not receive one.
     */
    record EndpointSilent(EndpointId endpoint) implements GenerationInput {}

    /** Asks to stop the running attempt of a generation because urgent work needs its slot. */
    record Suspend(GenerationId generation) implements GenerationInput {}

    /** The routers of the deployment, including this one, according to settings or membership. */
    record Routers(List<HostInfo> hosts) implements GenerationInput {}

    /** Membership confirmed that a router is dead or has left. */
    record RouterDown(HostId host) implements GenerationInput {}

    /**
     * A message from a stripe of another router arrived.
     *
     * @param from the sending router
     * @param incarnation number of the sending process; a later process of the same router has a
     *     higher one, and messages with less than the highest known number are ignored
     * @param message the message
     */
    record Message(HostId from, long incarnation, BuddyMessage message)
            implements GenerationInput {}

    /**
     * The quarantine of a content began ({@code on} is true) or ended ({@code on} is false).
     * Requests with a quarantined content are refused.
     */
    record Quarantined(Fingerprint fingerprint, boolean on) implements GenerationInput {}

    /**
     * The router drains: no new generation starts, running ones finish or move to their buddies.
     *
     * @param deadlineMillis time on the clock of the state machine after which also generations
     *     that have callers at this router move
     */
    record Drain(long deadlineMillis) implements GenerationInput {}

    /** Triggers the check of all timeouts. Must arrive every few tens of milliseconds. */
    record Tick() implements GenerationInput {}
}
