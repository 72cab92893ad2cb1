package io.siskintrail.edge.internal;

import io.netty.util.concurrent.Future;
import io.siskintrail.edge.EndpointResponse;
import io.siskintrail.internal.traffic.configuration.RouteKind;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Exchange of a unary call. The response is buffered completely before any of it is delivered, so
 * that the call can be retried where that is allowed. A call that may run at most once is sent
 * again only if the endpoint cannot have read the call, or reports that it did not execute the
 * call.
 */
final class UnaryExchange extends Exchange {
    /** Number of failed connection attempts after which a call is not tried elsewhere. */
    private static final int MAX_FAILED_CONNECTS = 3;

    /** Fraction of the target latency after which an idempotent call is hedged. */
    private static final double HEDGE_DELAY_FRACTION = 0.5;

    /**
     * Maximum fraction of the target latency that a call spends in the queue; the rest is for its
     * execution.
     */
    private static final double MAX_QUEUE_TIME_FRACTION = 0.5;

    /** Retry-After for an endpoint that rejected the call although it seemed to have capacity. */
    private static final long REJECTED_RETRY_MILLIS = 80;

    /**
     * Retry-After when no endpoint is known or reachable; enough time to learn of another endpoint.
     */
    private static final long UNAVAILABLE_RETRY_MILLIS = 300;

    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    private final List<UnaryAttempt> runningAttempts = new ArrayList<>(2);
    private Future<?> hedgeTimer;
    private int sentAttempts;
    private int failedConnects;
    private boolean answered;
    private boolean outcomeUnknown;

    /** Whether the call waits to be sent again, which takes a retry from the budget. */
    private boolean wasRejected;

    /** Attempt that received the last complete error response; null if there was none. */
    private UnaryAttempt lastErrorResponse;

    UnaryExchange(
            EdgeContext edge, CallContext call, ClientResponse client, Consumer<Exchange> onEnd) {
        super(edge, call, client, onEnd);
    }

    @Override
    protected void placeOrQueue() {
        if (tryPlace()) {
            return;
        }
        if (edge.endpoints().ofService(service).isEmpty()) {
            reject(ResultCode.NO_ENDPOINT, "service has no endpoint", UNAVAILABLE_RETRY_MILLIS);
            return;
        }
        enqueue(queueTimeMillis());
    }

    /** Returns for how many milliseconds the call may still wait in the queue; 0 or less if not. */
    private long queueTimeMillis() {
        long elapsedMillis = EventLoop.nowMillis() - call.arrivedAtMillis();
        return (long) (MAX_QUEUE_TIME_FRACTION * call.route().targetLatencyMillis())
                - elapsedMillis;
    }

    @Override
    protected boolean mayHaveArrived() {
        return sentAttempts > 0;
    }

    @Override
    protected boolean hasResponseStarted() {
        return false;
    }

    @Override
    protected boolean isAnswered() {
        return answered;
    }

    @Override
    protected void endRefused() {
        if (lastErrorResponse != null) {
            deliver(lastErrorResponse);
        } else if (outcomeUnknown || runningAttempts.stream().anyMatch(UnaryAttempt::isWritten)) {
            reject(ResultCode.CALL_OUTCOME_UNKNOWN, CRASHED_ENDPOINTS, 0);
        } else {
            rejectRefused();
        }
    }

    @Override
    protected void releaseResources() {
        if (hedgeTimer != null) {
            hedgeTimer.cancel(false);
        }
        leaveQueue();
        for (UnaryAttempt attempt : List.copyOf(runningAttempts)) {
            attempt.stop();
        }
    }

    @Override
    protected void handleTimeout() {
        if (hasEnded()) {
            return;
        }
        if (isQueued()) {
            long forecastMillis = edge.queues().forecastMillis(service, call.rank());
            reject(ResultCode.NOT_RUN_NO_ROOM, "timed out waiting for capacity", forecastMillis);
            return;
        }
        runningAttempts.forEach(
                runningAttempt ->
                        runningAttempt.endpoint().health().recordFailure(EventLoop.nowMillis()));
        reject(ResultCode.CALL_TIMED_OUT, "attempts=%d".formatted(sentAttempts), 0);
    }

    @Override
    protected boolean tryPlace() {
        EndpointView endpoint =
                edge.callPlacement()
                        .choose(
                                EventLoop.nowMillis(),
                                edge.endpoints().ofService(service),
                                candidate ->
                                        !triedEndpoints.contains(candidate.record().id())
                                                && hasCapacity(candidate));
        if (endpoint == null || wasRejected && !tryTakeRetry()) {
            return false;
        }
        wasRejected = false;
        leaveQueue();
        send(endpoint);
        return true;
    }

    private static boolean hasCapacity(EndpointView candidate) {
        return candidate.running() < Math.max(1, candidate.record().slots());
    }

    private boolean isIdempotent() {
        return call.route().kind() == RouteKind.IDEMPOTENT;
    }

    private void send(EndpointView endpoint) {
        triedEndpoints.add(endpoint.record().id());
        sentAttempts++;
        logAttempt("attempt.sent", endpoint, "attempt=" + sentAttempts);
        // Event ID, copy target, copy source and weight version apply only to streams.
        EndpointRequest request = buildForwardedRequest(endpoint, -1, null, null, -1);
        UnaryAttempt newAttempt =
                new UnaryAttempt(edge, this, endpoint, request, call, sentAttempts);
        runningAttempts.add(newAttempt);
        newAttempt.start();
        if (isIdempotent() && hedgeTimer == null) {
            scheduleHedge();
        }
    }

    private void scheduleHedge() {
        long delayMillis = (long) (HEDGE_DELAY_FRACTION * call.route().targetLatencyMillis());
        hedgeTimer = after(Math.max(1, delayMillis), this::hedge);
    }

    /** Sends a second attempt if another endpoint is expected to answer before the first. */
    private void hedge() {
        if (hasEnded() || sentAttempts >= call.route().maxAttempts()) {
            return;
        }
        if (runningAttempts.size() == 1) {
            trySendAgain(
                    edge.callPlacement()
                            .chooseSooner(
                                    EventLoop.nowMillis(),
                                    edge.endpoints().ofService(service),
                                    this::isUntried,
                                    runningAttempts.get(0).remainingMillis()));
        }
        scheduleHedge();
    }

    /** Sends the call to another endpoint if a retry is allowed; returns whether it was sent. */
    private boolean trySendAgain() {
        return trySendAgain(
                edge.callPlacement()
                        .choose(
                                EventLoop.nowMillis(),
                                edge.endpoints().ofService(service),
                                this::isUntried));
    }

    private boolean trySendAgain(EndpointView nextEndpoint) {
        if (nextEndpoint == null
                || sentAttempts >= call.route().maxAttempts()
                || edge.crashes().refuses(call)
                || !tryTakeRetry()) {
            return false;
        }
        send(nextEndpoint);
        return true;
    }

    private boolean isUntried(EndpointView candidate) {
        return !triedEndpoints.contains(candidate.record().id()) && hasCapacity(candidate);
    }

    /**
     * Queues a call that all endpoints rejected as not run, so that it is sent again when one has
     * room; returns whether it waits. The wait is short, as a client that is told to retry comes
     * back later than an endpoint needs for a call.
     */
    private boolean tryQueueRejected() {
        boolean mayBeSentAgain =
                sentAttempts < call.route().maxAttempts()
                        && !outcomeUnknown
                        && lastErrorResponse == null
                        && runningAttempts.isEmpty()
                        && !hasEnded()
                        && hasRetryLeft()
                        && !edge.crashes().refuses(call);
        long waitMillis = queueTimeMillis();
        if (!mayBeSentAgain || waitMillis <= 0 || edge.pushBackMillis(service) > waitMillis) {
            return false;
        }
        triedEndpoints.clear();
        wasRejected = true;
        enqueue(waitMillis);
        return true;
    }

    /**
     * Sends a call to another endpoint if the connection to the first is not open yet. A dead
     * endpoint or a lost packet then delays it by less than its target latency.
     */
    void leaveUnconnected(UnaryAttempt unconnected) {
        boolean isOnlyAttempt =
                runningAttempts.size() == 1 && runningAttempts.contains(unconnected);
        if (!isOnlyAttempt
                || unconnected.isWritten()
                || failedConnects + 1 >= MAX_FAILED_CONNECTS) {
            return;
        }
        long now = EventLoop.nowMillis();
        EndpointView other =
                edge.callPlacement()
                        .choose(
                                now,
                                edge.endpoints().ofService(service),
                                candidate ->
                                        !triedEndpoints.contains(candidate.record().id())
                                                && hasCapacity(candidate)
                                                && !candidate.health().isInBackoff(now));
        if (other != null) {
            unconnected.stop();
            handleConnectFailure(unconnected, "not connected yet");
        }
    }

    /** Processes the end of an attempt; {@code wasFull} says that it never had a place. */
    void handleEnd(UnaryAttempt endedAttempt, boolean wasFull) {
        runningAttempts.remove(endedAttempt);
        if (!wasFull) {
            edge.queues().releaseOne(service);
        }
    }

    /** Records that an endpoint has begun to answer. */
    void recordAnswered() {
        if (!answered) {
            answered = true;
            edge.crashes().recordAnswered(call);
        }
    }

    /** Processes a complete response. */
    void handleResponse(UnaryAttempt endedAttempt) {
        EndpointResponse response = endedAttempt.endpointResponse();
        String status = "status=%d".formatted(response.status());
        if (response.notRun()) {
            recordFailure(endedAttempt, response);
            edge.recordDiverted(response);
            logEnd("attempt.not-run", endedAttempt, status);
            endUnlessRetrying(trySendAgain() || tryQueueRejected());
        } else if (!response.signed()) {
            outcomeUnknown = true;
            handleFailure(endedAttempt, "unsigned response, " + status);
        } else if (response.isServerError()) {
            lastErrorResponse = endedAttempt;
            recordFailure(endedAttempt, response);
            logEnd("attempt.failed", endedAttempt, status);
            endUnlessRetrying(isIdempotent() && trySendAgain());
        } else {
            long now = EventLoop.nowMillis();
            long tookMillis = now - endedAttempt.startedAtMillis();
            endedAttempt.endpoint().health().recordSuccess(now, tookMillis);
            deliver(endedAttempt);
        }
    }

    /** Processes an attempt whose response cannot be completed. */
    void handleBreak(UnaryAttempt endedAttempt, String cause) {
        outcomeUnknown = true;
        handleFailure(endedAttempt, cause);
    }

    /** Logs how an attempt ended, with the connection by which its endpoint knows it. */
    private void logEnd(String event, UnaryAttempt ended, String detail) {
        logAttempt(event, ended.endpoint(), detail + " " + ended.describe());
    }

    private static void recordFailure(UnaryAttempt endedAttempt, EndpointResponse response) {
        if (!response.pushesBack()) {
            endedAttempt.endpoint().health().recordFailure(EventLoop.nowMillis());
        }
    }

    private void handleFailure(UnaryAttempt endedAttempt, String cause) {
        endedAttempt.endpoint().health().recordFailure(EventLoop.nowMillis());
        logEnd("attempt.broken", endedAttempt, cause);
        endUnlessRetrying(isIdempotent() && trySendAgain());
    }

    /** Processes a failed connection attempt. */
    void handleConnectFailure(UnaryAttempt endedAttempt, String cause) {
        endedAttempt.endpoint().health().recordUnreachable(EventLoop.nowMillis());
        logAttempt("attempt.not-connected", endedAttempt.endpoint(), cause);
        sentAttempts--;
        failedConnects++;
        if (failedConnects < MAX_FAILED_CONNECTS && tryPlace()) {
            return;
        }
        endUnlessRetrying(false);
    }

    /**
     * Ends the call with the last error response or a rejection, unless it is retried, an attempt
     * is still running, or the call has ended.
     */
    private void endUnlessRetrying(boolean retrying) {
        if (retrying || !runningAttempts.isEmpty() || hasEnded()) {
            return;
        }
        if (lastErrorResponse != null) {
            deliver(lastErrorResponse);
        } else if (outcomeUnknown) {
            reject(ResultCode.CALL_OUTCOME_UNKNOWN, "attempts=%d".formatted(sentAttempts), 0);
        } else if (sentAttempts > 0) {
            reject(
                    ResultCode.NOT_RUN_ENDPOINT_FULL,
                    "attempts=%d".formatted(sentAttempts),
                    Math.max(REJECTED_RETRY_MILLIS, edge.pushBackMillis(service)));
        } else {
            reject(
                    ResultCode.NOT_RUN_UNREACHABLE,
                    "dials=%d".formatted(failedConnects),
                    UNAVAILABLE_RETRY_MILLIS);
        }
    }

    /** Delivers the complete response that {@code source} received. */
    private void deliver(UnaryAttempt source) {
        releaseResources();
        int status = source.endpointResponse().status();
        end(
                "answered",
                0,
                "status="
                        + status
                        + " attempts="
                        + sentAttempts
                        + " endpoint="
                        + source.endpoint().record().id().value()
                        + ' '
                        + source.describe());
        client.sendResponse(status, source.headers(), source.body());
    }
}
