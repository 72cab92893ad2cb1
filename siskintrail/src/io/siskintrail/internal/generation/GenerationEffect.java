package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.List;
import java.util.Set;

/** Action that a stripe asks its runtime to carry out. */
public sealed interface GenerationEffect {

    /**
     * Requests a slot; the runtime answers with SlotGranted or SlotRefused.
     *
     * @param spec the generation
     * @param attempt number of the attempt that will use the slot
     * @param journalTokens number of journal tokens that the engine recomputes after the prompt
     * @param avoid endpoints that failed this generation; chosen only when no other is left
     * @param recovery whether the generation waited in the recovery queue
     */
    record RequestSlot(
            GenerationSpec spec,
            int attempt,
            int journalTokens,
            Set<EndpointId> avoid,
            boolean recovery)
            implements GenerationEffect {}

    /** Withdraws a slot request, or releases the slot if it was granted in the meantime. */
    record WithdrawSlot(GenerationId generation, int attempt) implements GenerationEffect {}

    /** Opens a stream at the engine with the prompt and {@code prefix} as forced output. */
    record StartAttempt(
            GenerationSpec spec,
            OwnerEpoch epoch,
            int attempt,
            EndpointId endpoint,
            TokenRun prefix)
            implements GenerationEffect {}

    /** Closes the stream, cancels it at the engine (best effort) and releases its slot. */
    record EndAttempt(
            GenerationId generation,
            OwnerEpoch epoch,
            int attempt,
            EndpointId endpoint,
            AttemptEnd cause)
            implements GenerationEffect {}

    /**
     * Cancels the attempt of a former owner at the engine (best effort); this router holds no slot
     * for it.
     */
    record CancelForeign(
            GenerationId generation, OwnerEpoch epoch, int attempt, EndpointId endpoint)
            implements GenerationEffect {}

    /**
     * Delivers tokens to a caller.
     *
     * @param caller id of the caller's connection
     * @param run the tokens, not empty
     * @param after the position of the caller after these tokens
     */
    record Deliver(long caller, TokenRun run, Position after) implements GenerationEffect {}

    /**
     * Reports the outcome to a caller, which receives nothing afterwards; {@code tokens} is the
     * number of tokens that it has received.
     */
    record Finish(long caller, Outcome outcome, int tokens) implements GenerationEffect {}

    /** Sends a message to another router, best effort. */
    record Send(HostId to, BuddyMessage message) implements GenerationEffect {}

    /**
     * Reports the loss of one or more streams that may mean that their endpoint died.
     *
     * @param endpoint the endpoint
     * @param running fingerprints of the requests on the lost streams
     * @param silent whether the endpoint fell silent, which other stripes must learn
     */
    record EndpointLost(EndpointId endpoint, List<Fingerprint> running, boolean silent)
            implements GenerationEffect {}

    /**
     * Reports that a generation resumed after a loss.
     *
     * @param generation the generation
     * @param millis milliseconds from the loss to the next token
     * @param recomputed number of prompt and journal tokens that the engine recomputed
     */
    record Resumed(GenerationId generation, long millis, int recomputed)
            implements GenerationEffect {}

    /** Reports that the drain is complete: no generation runs and no caller waits here. */
    record Drained() implements GenerationEffect {}
}
