package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** State of a generation that this router owns. */
final class OwnedGeneration {
    /** Value of a time in milliseconds that is not set. */
    static final long NEVER = -1;

    /** Phase in the life of a generation. */
    enum Phase {
        /** Waits for the first acknowledgement of its buddy. */
        OPENING,
        /** Waits in the recovery queue to resume. */
        WAITING_RESUMPTION,
        /** Waits for a slot at an endpoint. */
        WAITING_SLOT,
        /** Runs at an endpoint. */
        RUNNING,
        /** Stopped because no caller is attached; resumes when one attaches. */
        PARKED,
        /** Has an outcome. */
        DONE
    }

    final Journal journal;
    final List<Subscriber> subscribers = new ArrayList<>();
    final Set<EndpointId> failedEndpoints = new LinkedHashSet<>();
    final Set<HostId> refusedBuddies = new HashSet<>();

    GenerationSpec spec;
    OwnerEpoch epoch;
    Phase phase = Phase.OPENING;
    boolean mayHaveDeliveredTokens;

    int attempt;
    int failures;
    int lostEndpoints;
    EndpointId endpoint;
    OwnerEpoch attemptEpoch;
    boolean hasFirstToken;
    long attemptStartedAt;
    long lastTokenAt;
    long lostAt = NEVER;
    long slotRefusedSince = NEVER;

    HostId buddy;
    boolean copyOpened;
    long buddyIncarnation;
    int sentTokens;
    boolean sentEnd;
    int ackedTokens;
    boolean ackedEnd;
    long copySentAt;
    long unackedSince = NEVER;
    long nextBuddySearchAt;

    int committedTokens;
    boolean committedEnd;
    long doneAt = NEVER;
    long unsubscribedSince = NEVER;
    long handoverSentAt = NEVER;

    OwnedGeneration(GenerationSpec spec, Journal journal, OwnerEpoch epoch) {
        this.spec = spec;
        this.journal = journal;
        this.epoch = epoch;
    }

    GenerationId id() {
        return spec.id();
    }

    RequestRef ref() {
        return spec.ref();
    }

    boolean isDone() {
        return phase == Phase.DONE;
    }

    /** Returns whether the buddy has acknowledged the whole journal, including its outcome. */
    boolean isFullyAcked() {
        return copyOpened
                && ackedTokens >= journal.length()
                && (ackedEnd || journal.outcome() == null);
    }

    boolean hasLocalCaller() {
        return subscribers.stream().anyMatch(Subscriber::isLocal);
    }

    /** Receiver of the answer: a caller of this router ({@code host} is null) or of another one. */
    static final class Subscriber {
        final long caller;
        final HostId host;
        OwnerEpoch basisEpoch;
        int basisOffset;
        int nextOffset;
        long renewedAt;

        Subscriber(long caller, HostId host, int nextOffset) {
            this.caller = caller;
            this.host = host;
            this.nextOffset = nextOffset;
        }

        boolean isLocal() {
            return host == null;
        }
    }
}
