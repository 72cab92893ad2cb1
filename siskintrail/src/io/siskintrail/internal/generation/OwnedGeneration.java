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
    /** Time that is not set. */
    static final long NEVER = -1;

    /** Where a generation stands. */
    enum Phase {
        /** Waits for the first acknowledgement of its buddy. */
        OPENING,
        /** Waits for its turn to resume. */
        LOST,
        /** Waits for a slot at an endpoint. */
        WAITING_SLOT,
        /** Runs at an endpoint. */
        RUNNING,
        /** Rests because no caller is attached. */
        PARKED,
        /** Is over. */
        DONE
    }

    final Journal journal;
    final List<Sink> sinks = new ArrayList<>();
    final Set<EndpointId> avoid = new LinkedHashSet<>();
    final Set<HostId> refusedBuddies = new HashSet<>();

    GenerationSpec spec;
    OwnerEpoch epoch;
    Phase phase = Phase.OPENING;
    boolean deliveredAny;

    int attempt;
    int failures;
    int lostEndpoints;
    EndpointId endpoint;
    OwnerEpoch attemptEpoch;
    boolean streaming;
    long attemptStartedAt;
    long lastTokenAt;
    long lostAt = NEVER;
    long noEndpointSince = NEVER;

    HostId buddy;
    boolean opened;
    long buddyIncarnation;
    int sent;
    boolean sentEnd;
    int acked;
    boolean ackedEnd;
    long copySentAt;
    long unackedSince = NEVER;
    long nextBuddySearchAt;

    int committed;
    boolean committedEnd;
    long doneAt = NEVER;
    long orphanSince = NEVER;
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

    /** Returns whether the buddy has all that is known here. */
    boolean isFullyAcked() {
        return opened && acked >= journal.length() && (ackedEnd || journal.outcome() == null);
    }

    boolean hasLocalCaller() {
        return sinks.stream().anyMatch(Sink::isLocal);
    }

    /** One receiver of the answer: a caller of this router or of another one. */
    static final class Sink {
        final long caller;
        final HostId host;
        OwnerEpoch basisEpoch;
        int basisOffset;
        int next;
        long renewedAt;

        Sink(long caller, HostId host, int next) {
            this.caller = caller;
            this.host = host;
            this.next = next;
        }

        boolean isLocal() {
            return host == null;
        }
    }
}
