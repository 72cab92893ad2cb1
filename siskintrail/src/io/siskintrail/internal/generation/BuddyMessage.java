package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import java.util.List;
import java.util.Set;

/** What stripes of different routers tell each other. Any message can be lost or repeated. */
public sealed interface BuddyMessage {

    /** A message about one request; reaches the stripe of that request. */
    sealed interface OfRequest extends BuddyMessage {
        /** Returns the request that the message is about. */
        RequestRef ref();
    }

    /** A message between stripes of equal index. */
    sealed interface OfStripe extends BuddyMessage {
        /** Returns the index of the stripe that asked. */
        int stripe();
    }

    /** A message between routers as a whole. */
    sealed interface OfRouter extends BuddyMessage {}

    /** Tells what ran on an endpoint that died. */
    record DeathReport(EndpointId endpoint, Set<Fingerprint> running) implements OfRouter {}

    /** Asks to refuse a fingerprint for {@code millis}. */
    record QuarantineNotice(Fingerprint fingerprint, long millis) implements OfRouter {}

    /**
     * Asks a router to keep a copy, with all that is known so far.
     *
     * @param spec the generation
     * @param lineage the segments of the journal; the last one is the owner's epoch
     * @param run the journal from its start
     * @param outcome how it ended, null while it runs
     * @param attempt the number of the last attempt
     * @param endpoint where that attempt runs, null when nowhere
     * @param failures attempts that failed
     */
    record Open(
            GenerationSpec spec,
            List<Segment> lineage,
            TokenRun run,
            Outcome outcome,
            int attempt,
            EndpointId endpoint,
            int failures)
            implements OfRequest {
        @Override
        public RequestRef ref() {
            return spec.ref();
        }

        /** Returns the epoch of the owner that sent the copy. */
        public OwnerEpoch epoch() {
            return lineage.get(lineage.size() - 1).epoch();
        }
    }

    /** Adds tokens to a copy; {@code from} is the offset of the first one. */
    record Copy(
            RequestRef ref,
            GenerationId generation,
            OwnerEpoch epoch,
            int from,
            TokenRun run,
            Outcome outcome,
            int attempt,
            EndpointId endpoint)
            implements OfRequest {}

    /** Confirms that the copy has {@code length} tokens, and the end when {@code ended}. */
    record Ack(RequestRef ref, GenerationId generation, OwnerEpoch epoch, int length, boolean ended)
            implements OfRequest {}

    /** Answers a Copy of a generation that the receiver does not hold. */
    record NotHeld(RequestRef ref, GenerationId generation, OwnerEpoch epoch)
            implements OfRequest {}

    /** Tells a former owner, or whoever asks, that {@code epoch} owns the generation. */
    record Owned(RequestRef ref, GenerationId generation, OwnerEpoch epoch) implements OfRequest {}

    /** Refuses an Open: another generation answers the request already. */
    record Conflict(
            RequestRef ref,
            GenerationId refused,
            GenerationId running,
            OwnerEpoch epoch,
            Fingerprint fingerprint)
            implements OfRequest {}

    /** Tells a former buddy to forget its copy. */
    record Release(RequestRef ref, GenerationId generation, OwnerEpoch epoch)
            implements OfRequest {}

    /** Asks the buddy to take the generation over now. */
    record Handover(RequestRef ref, GenerationId generation, OwnerEpoch epoch)
            implements OfRequest {}

    /** Asks whether a router knows the request. */
    record Locate(RequestRef ref) implements OfRequest {}

    /** Answers Locate; the last three are null when the request is not known. */
    record Located(
            RequestRef ref, GenerationId generation, OwnerEpoch epoch, Fingerprint fingerprint)
            implements OfRequest {}

    /**
     * Asks the owner for the tokens after {@code offset} of the journal that {@code epoch} wrote;
     * epoch is null at offset 0.
     */
    record Subscribe(
            RequestRef ref, GenerationId generation, long caller, OwnerEpoch epoch, int offset)
            implements OfRequest {}

    /**
     * Hands acknowledged tokens to a subscriber; empty as a sign of life.
     *
     * @param basisEpoch the epoch of the subscription that the owner checked last
     * @param basisOffset the offset of that subscription
     */
    record Relay(
            RequestRef ref,
            GenerationId generation,
            OwnerEpoch epoch,
            long caller,
            OwnerEpoch basisEpoch,
            int basisOffset,
            int from,
            TokenRun run,
            Outcome outcome)
            implements OfRequest {}

    /** Refuses Subscribe: the journal here is not the one that the caller has a part of. */
    record Diverged(RequestRef ref, GenerationId generation, long caller) implements OfRequest {}

    /** Ends a subscription. */
    record Unsubscribe(RequestRef ref, GenerationId generation, long caller) implements OfRequest {}

    /** Asks for a sign of life. */
    record Probe(int stripe) implements OfStripe {}

    /** Gives a sign of life. */
    record ProbeAck(int stripe) implements OfStripe {}
}
