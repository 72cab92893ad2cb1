package io.siskintrail.internal.ledger;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One order that a router works on. Touched by its {@link OrderFlow} only. */
final class OpenOrder {

    /** What the router waits for. */
    enum Phase {
        /** The answer of the ledger to a claim. */
        CLAIMING,
        /** The end of the order on another router. */
        WATCHING,
        /** The commit of a dispatch. */
        DISPATCHING,
        /** The answer of the endpoint. */
        CALLING,
        /** The commit of the answer. */
        RECORDING
    }

    /**
     * A request that waits for the outcome.
     *
     * @param request its number
     * @param deadlineMillis when its caller stops waiting
     * @param joined when it came, in the numbering of the proposals
     */
    record Waiter(long request, long deadlineMillis, long joined) {}

    final OrderKey key;
    final ContentDigest digest;
    final OrderTerms terms;
    final long firstRequest;
    final List<Waiter> waiters = new ArrayList<>();
    final Set<EndpointId> tried = new HashSet<>();
    Phase phase;
    ClaimId claim;
    int attempt;
    EndpointId endpoint;
    StoredAnswer answer;

    /** The command that is proposed until the ledger answers; null when none is. */
    LedgerCommand pending;

    long proposal;
    long call;
    long wakeMillis;
    long pollMillis;
    long phaseEndMillis;

    /**
     * The proposal whose answer showed that no earlier dispatch was on record; 0 for none. It says
     * so only to the requests that came before it.
     */
    long grant;

    /** Whether another claim was last seen to hold the order. */
    boolean heldElsewhere;

    OpenOrder(OrderInput.Submit s) {
        key = s.key();
        digest = s.digest();
        terms = s.terms();
        firstRequest = s.request();
    }

    /** Returns whether an attempt may have left this host or an answer is known. */
    boolean maybeSent() {
        return phase == Phase.CALLING || phase == Phase.RECORDING;
    }
}
