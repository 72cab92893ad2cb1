package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.List;
import java.util.Set;

/** What the shell of a stripe has to do. */
public sealed interface GenerationEffect {

    /**
     * Queue for a slot; answered by SlotGranted or SlotRefused.
     *
     * @param spec the generation
     * @param attempt the attempt that will use it
     * @param journalTokens tokens that are recomputed with the prompt
     * @param avoid endpoints that failed this generation; used only when nothing else is left
     * @param recovery whether a caller has waited since a loss
     */
    record RequestSlot(
            GenerationSpec spec,
            int attempt,
            int journalTokens,
            Set<EndpointId> avoid,
            boolean recovery)
            implements GenerationEffect {}

    /** Leave the queue for a slot, or release the slot if it was granted meanwhile. */
    record WithdrawSlot(GenerationId generation, int attempt) implements GenerationEffect {}

    /** Open a stream at the engine with the prompt and {@code prefix} as forced output. */
    record StartAttempt(
            GenerationSpec spec,
            OwnerEpoch epoch,
            int attempt,
            EndpointId endpoint,
            TokenRun prefix)
            implements GenerationEffect {}

    /** Close the stream, cancel it at the engine (best effort) and release its slot. */
    record EndAttempt(
            GenerationId generation,
            OwnerEpoch epoch,
            int attempt,
            EndpointId endpoint,
            AttemptEnd cause)
            implements GenerationEffect {}

    /**
     * Cancel the attempt of a former owner at the engine (best effort); no slot of this router is
     * involved.
     */
    record CancelForeign(
            GenerationId generation, OwnerEpoch epoch, int attempt, EndpointId endpoint)
            implements GenerationEffect {}

    /**
     * Hand tokens to a caller.
     *
     * @param caller the caller
     * @param run the tokens, not empty
     * @param after what the caller has after them
     */
    record Deliver(long caller, TokenRun run, Position after) implements GenerationEffect {}

    /** Tell a caller that its answer is over; nothing is delivered to it afterwards. */
    record Finish(long caller, Outcome outcome, int tokens) implements GenerationEffect {}

    /** Send a message to another router, best effort. */
    record Send(HostId to, BuddyMessage message) implements GenerationEffect {}

    /**
     * Streams of an endpoint were lost together.
     *
     * @param endpoint the endpoint
     * @param running what ran on the streams
     * @param silent whether they fell silent, so that other stripes should know
     */
    record EndpointLost(EndpointId endpoint, List<Fingerprint> running, boolean silent)
            implements GenerationEffect {}

    /**
     * A generation went on after a loss.
     *
     * @param generation the generation
     * @param millis time from the loss to the next token
     * @param recomputed prompt and journal tokens that the engine computed again
     */
    record Resumed(GenerationId generation, long millis, int recomputed)
            implements GenerationEffect {}

    /** The drain is complete: nothing is running here any more. */
    record Drained() implements GenerationEffect {}
}
