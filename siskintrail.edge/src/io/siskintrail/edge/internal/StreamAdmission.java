package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.admission.AdmissionOrder;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.placement.StreamPlacement;
import io.siskintrail.internal.traffic.stream.StreamAttempts;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;

/**
 * How long and behind how much queued work one stream waits for an engine, and its place in the
 * order of all edges. Confined to the event loop.
 */
final class StreamAdmission {
    /** Maximum fraction of the target latency that a request waits for an engine to appear. */
    private static final double NO_ENGINE_FRACTION = 0.12;

    /**
     * Maximum fraction of the target latency that queued prefills may take on an engine before a
     * request.
     */
    private static final double PREFILL_FRACTION = 0.3;

    /** Fraction of the target latency that a request may at least wait for capacity. */
    private static final double QUEUE_FRACTION = 0.5;

    /** Gap between events after which a client leaves, at least. */
    private static final long MIN_LEAVING_GAP_MILLIS = 2_000;

    /** Gap after which a client leaves, as a multiple of the target latency. */
    private static final long LEAVING_GAP_PER_TARGET = 4;

    /** Gap after which a client leaves, as a multiple of the target gap. */
    private static final long LEAVING_GAP_PER_GAP = 8;

    /**
     * Divisor of the memory of an engine up to which places are counted for the size of the
     * requests that go first: a larger one fits beside no other, and must not hold back all that
     * would fit.
     */
    private static final long MEMORY_DIVISOR = 2;

    private final EdgeContext edge;
    private final CallContext call;
    private final StreamExchange exchange;
    private final StreamAttempts attempts;
    private final EngineSelection selection;
    private final ServiceName service;
    private final EngineSpec engine;
    private final long tokens;
    private AdmissionOrder.Waiting<StreamAdmission> entry;

    /**
     * Creates the admission of a stream that does not wait.
     *
     * @param engine the capacity of the engines of its service; null if the service has none
     * @param tokens the KV cache memory that the stream needs, in tokens
     */
    StreamAdmission(
            EdgeContext edge,
            CallContext call,
            StreamExchange exchange,
            StreamAttempts attempts,
            EngineSelection selection,
            EngineSpec engine,
            long tokens) {
        this.edge = edge;
        this.call = call;
        this.exchange = exchange;
        this.attempts = attempts;
        this.selection = selection;
        this.service = exchange.service;
        this.engine = engine;
        this.tokens = tokens;
    }

    /** Returns whether streams of the service wait in one order over all edges. */
    boolean isShared() {
        return engine != null && edge.sharedQueues().isActive();
    }

    /** Returns how much prefill time may be queued on an engine before this stream, in millis. */
    long maxPrefillMillis() {
        long targetMillis = call.route().targetLatencyMillis();
        if (isShared()) {
            targetMillis = Math.min(targetMillis, call.table().shortestStreamTargetMillis(service));
        }
        return (long) (PREFILL_FRACTION * targetMillis);
    }

    /**
     * Returns the memory that an engine must have free for the stream to start there, in tokens. A
     * new stream leaves room for the copy of another one: streams without a copy are prefilled
     * again when a failure domain is lost, which delays all others.
     */
    long placementTokens() {
        boolean isNew = entry != null && !entry.request().resumption();
        boolean leavesRoom =
                isNew
                        && engine.copiesMemory()
                        && StreamPlacement.fitsEmptyEngine(engine, 2 * tokens);
        return leavesRoom ? 2 * tokens : tokens;
    }

    /**
     * Returns the memory for which places are counted, given the largest stream that goes first.
     */
    long countedTokens(long maxTokens) {
        long largest =
                Math.max(tokens, Math.min(maxTokens, engine.memoryTokens() / MEMORY_DIVISOR));
        return largest + placementTokens() - tokens;
    }

    /** Returns how long a new stream may wait if each edge decides by itself, in milliseconds. */
    long maxWaitMillis() {
        boolean hasNoEndpoint = edge.endpoints().ofService(service).isEmpty();
        double fraction = hasNoEndpoint ? NO_ENGINE_FRACTION : QUEUE_FRACTION;
        return (long) (fraction * call.route().targetLatencyMillis());
    }

    /** Returns how much of the longest wait is left, in milliseconds, at least 0. */
    long queueMillisLeft() {
        long limitMillis = (long) (QUEUE_FRACTION * call.route().targetLatencyMillis());
        return Math.max(0, call.arrivedAtMillis() + limitMillis - EventLoop.nowMillis());
    }

    /** Places a new stream, or lets it wait in the order of all edges, or ends it. */
    void enterAsNew() {
        enter(call.arrivedAtMillis(), latestStartMillis(), false);
    }

    /**
     * Places a stream whose attempt ended, or lets it wait in the order of all edges, or ends it.
     *
     * @param isResumption whether an engine may have run it
     * @param isStarted whether its client has received a part of the response
     * @param lostAtMillis when it lost its engine, in monotonic milliseconds
     */
    void enterAgain(boolean isResumption, boolean isStarted, long lostAtMillis) {
        if (entry != null) {
            return;
        }
        if (!isResumption) {
            enter(call.arrivedAtMillis(), latestStartMillis(), false);
            return;
        }
        long leavesAtMillis = call.deadlineAtMillis();
        if (isStarted) {
            leavesAtMillis = Math.min(leavesAtMillis, lostAtMillis + leavingGapMillis());
        }
        enter(lostAtMillis, leavesAtMillis - selection.firstEventMillis(), true);
    }

    /** Leaves the order, if the stream waits in it. */
    void leave() {
        if (entry != null) {
            AdmissionOrder.Waiting<StreamAdmission> left = entry;
            entry = null;
            edge.sharedQueues().remove(service, left);
        }
    }

    /**
     * Returns whether a stream that would leave its engine could go on at another one now without
     * taking the place of a request that goes first.
     */
    boolean isTurnOfResumption() {
        int ahead = edge.sharedQueues().countAhead(service, call.rank());
        return ahead == 0 || countPlaces(tokens, ahead + 1) > ahead;
    }

    /**
     * Returns how many streams of at least the size of this one have a place now.
     *
     * @param maxTokens the size of the largest request that goes first, in tokens
     * @param atMost the number from which on more places do not matter
     */
    int countPlaces(long maxTokens, int atMost) {
        return edge.streamPlacement()
                .countPlaces(
                        EventLoop.nowMillis(),
                        edge.engines(service),
                        engine,
                        countedTokens(maxTokens),
                        maxPrefillMillis(),
                        atMost);
    }

    /** Returns the exchange of the stream. */
    StreamExchange exchange() {
        return exchange;
    }

    /** Returns the number of attempts that were sent. */
    int sentAttempts() {
        return attempts.sent();
    }

    private void enter(long sinceMillis, long latestStartMillis, boolean isResumption) {
        int account = call.accountId() == null ? 0 : call.accountId().hashCode();
        AdmissionOrder.Request request =
                new AdmissionOrder.Request(
                        call.rank(), account, sinceMillis, latestStartMillis, tokens, isResumption);
        edge.sharedQueues().enter(this, request, added -> entry = added);
    }

    /** Returns until when a new stream can start in time, in monotonic milliseconds. */
    private long latestStartMillis() {
        long targetMillis = call.route().targetLatencyMillis();
        long waitMillis =
                edge.endpoints().ofService(service).isEmpty()
                        ? maxWaitMillis()
                        : Math.max(
                                (long) (QUEUE_FRACTION * targetMillis),
                                targetMillis - maxPrefillMillis() - selection.firstEventMillis());
        return Math.min(call.arrivedAtMillis() + waitMillis, call.deadlineAtMillis());
    }

    private long leavingGapMillis() {
        return Math.max(
                MIN_LEAVING_GAP_MILLIS,
                Math.max(
                        LEAVING_GAP_PER_TARGET * call.route().targetLatencyMillis(),
                        LEAVING_GAP_PER_GAP * call.route().targetGapMillis()));
    }
}
