package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import java.util.List;
import java.util.Set;

/** Message between stripes of different routers. Any message can be lost or repeated. */
public sealed interface BuddyMessage {

    /** Message about one request; the receiving router routes it to the stripe of that request. */
    sealed interface OfRequest extends BuddyMessage {
        /** Returns the request that the message is about. */
        RequestRef ref();
    }

    /** Message between stripes of equal index. */
    sealed interface OfStripe extends BuddyMessage {
        /** Returns the index of the stripe that sent the probe. */
        int stripe();
    }

    /** Message between routers that concerns no single stripe. */
    sealed interface OfRouter extends BuddyMessage {}

    /** Reports the requests that ran on an endpoint when it died. */
    record DeathReport(EndpointId endpoint, Set<Fingerprint> running) implements OfRouter {}

    /** Asks the receiver to refuse a fingerprint for {@code millis} milliseconds. */
    record QuarantineNotice(Fingerprint fingerprint, long millis) implements OfRouter {}

    /**
     * Asks a router to be the buddy of a generation, that is to keep a backup copy of it; carries
     * the whole journal so far.
     *
     * @param spec the generation
     * @param lineage the segments of the journal; the last one is the owner's epoch
     * @param run the journal from its start
     * @param outcome how the generation ended, null while it runs
     * @param attempt number of the last attempt
     * @param endpoint the endpoint that runs that attempt, null when it does not run
     * @param failures number of failed attempts so far
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

    /**
     * Appends tokens to the copy of the buddy; {@code from} is the offset of the first token in the
     * answer, {@code outcome} is null while the generation runs.
     */
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

    /**
     * Acknowledges that the copy has {@code length} tokens, and also the outcome when {@code
     * ended}.
     */
    record Ack(RequestRef ref, GenerationId generation, OwnerEpoch epoch, int length, boolean ended)
            implements OfRequest {}

    /** Rejects a Copy for a generation of which the receiver holds no copy. */
    record NotHeld(RequestRef ref, GenerationId generation, OwnerEpoch epoch)
            implements OfRequest {}

    /** Tells a former owner or another interested router that {@code epoch} owns the generation. */
    record Owned(RequestRef ref, GenerationId generation, OwnerEpoch epoch) implements OfRequest {}

    /** Refuses an Open because another generation already answers the same request. */
    record Conflict(
            RequestRef ref,
            GenerationId refused,
            GenerationId running,
            OwnerEpoch epoch,
            Fingerprint fingerprint)
            implements OfRequest {}

    /** Tells a former buddy to delete its copy. */
    record Release(RequestRef ref, GenerationId generation, OwnerEpoch epoch)
            implements OfRequest {}

    /** Asks the buddy to take over the generation immediately. */
    record Handover(RequestRef ref, GenerationId generation, OwnerEpoch epoch)
            implements OfRequest {}

    /** Asks whether a router knows the request. */
    record Locate(RequestRef ref) implements OfRequest {}

    /**
     * Answers Locate; the last three components are null when the router does not know the request.
     */
    record Located(
            RequestRef ref, GenerationId generation, OwnerEpoch epoch, Fingerprint fingerprint)
            implements OfRequest {}

    /**
     * Subscribes to the tokens after {@code offset} of the journal that {@code epoch} wrote, or
     * renews the subscription; {@code epoch} is null when the caller has no tokens yet (offset 0).
     */
    record Subscribe(
            RequestRef ref, GenerationId generation, long caller, OwnerEpoch epoch, int offset)
            implements OfRequest {}

    /**
     * Carries committed tokens to a subscriber; without tokens it serves as a heartbeat.
     *
     * @param basisEpoch the epoch of the last subscription that the owner checked against its
     *     journal
     * @param basisOffset the offset in that subscription
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

    /** Refuses Subscribe because the caller's tokens may not be a prefix of the owner's journal. */
    record Diverged(RequestRef ref, GenerationId generation, long caller) implements OfRequest {}

    /** Ends a subscription. */
    record Unsubscribe(RequestRef ref, GenerationId generation, long caller) implements OfRequest {}

    /** Asks the owner of a copy for a heartbeat. */
    record Probe(int stripe) implements OfStripe {}

    /** Answers Probe. */
    record ProbeAck(int stripe) implements OfStripe {}
}
