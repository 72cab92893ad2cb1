package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ModelId;
import java.util.List;

/** What can happen to the generations of a stripe. */
public sealed interface GenerationInput {

    /**
     * A caller wants the answer to a request.
     *
     * @param caller names the caller's connection; never used twice by one process
     * @param spec what to run when the request is not known anywhere; its id is new
     * @param after what the caller has already, null when nothing
     * @param keyed whether the caller chose the key, so that other routers may know it
     */
    record Attach(long caller, GenerationSpec spec, Position after, boolean keyed)
            implements GenerationInput {}

    /** A caller's connection is gone. */
    record Detach(long caller) implements GenerationInput {}

    /** A slot at {@code endpoint} is reserved for the attempt. */
    record SlotGranted(GenerationId generation, int attempt, EndpointId endpoint)
            implements GenerationInput {}

    /**
     * No slot is to be had.
     *
     * @param generation the generation
     * @param attempt the attempt that asked
     * @param failure why; NO_ENDPOINT when nothing runs the pinned version
     * @param otherVersion a version of the same model that is running, null when there is none
     */
    record SlotRefused(GenerationId generation, int attempt, Failure failure, ModelId otherVersion)
            implements GenerationInput {}

    /**
     * An engine sent tokens.
     *
     * @param generation the generation
     * @param attempt the attempt that the stream belongs to
     * @param offset the position of the first token in the whole answer
     * @param run the tokens, may be empty
     * @param end how the answer ended, null when it goes on
     */
    record Chunk(GenerationId generation, int attempt, int offset, TokenRun run, Outcome end)
            implements GenerationInput {}

    /** An attempt's stream ended without the end of the answer. */
    record AttemptFailed(GenerationId generation, int attempt, AttemptEnd cause, String detail)
            implements GenerationInput {}

    /**
     * Another stripe found that no stream of the endpoint makes progress, so attempts here that
     * wait for their first token there will wait in vain.
     */
    record EndpointSilent(EndpointId endpoint) implements GenerationInput {}

    /** Urgent work needs the slot of the generation. */
    record Suspend(GenerationId generation) implements GenerationInput {}

    /** The routers of the deployment, this one included, as settings or membership name them. */
    record Routers(List<HostInfo> hosts) implements GenerationInput {}

    /** Membership is sure that a router is dead or has left. */
    record RouterDown(HostId host) implements GenerationInput {}

    /**
     * A message of another router's stripe.
     *
     * @param from the router
     * @param incarnation the process that sent it; a lower one than known is ignored
     * @param message the message
     */
    record Message(HostId from, long incarnation, BuddyMessage message)
            implements GenerationInput {}

    /** Requests with this content are refused from now on. */
    record Quarantined(Fingerprint fingerprint, boolean on) implements GenerationInput {}

    /**
     * The router stops: no new generation starts, running ones finish or move to their buddies.
     *
     * @param deadlineMillis time of the machine's clock at which the rest is moved
     */
    record Drain(long deadlineMillis) implements GenerationInput {}

    /** Time passed. Expected every few tens of milliseconds. */
    record Tick() implements GenerationInput {}
}
