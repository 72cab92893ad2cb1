package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import io.siskintrail.edge.EndpointResponse;
import io.siskintrail.internal.traffic.configuration.RouteKind;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.placement.CallPlacement;
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

    /** Maximum size of a buffered response body. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    /** Fraction of the target latency after which an idempotent call is hedged. */
    private static final double HEDGE_DELAY_FRACTION = 0.5;

    /**
     * Maximum fraction of the target latency that a call spends in the queue; the rest is for its
     * execution.
     */
    private static final double MAX_QUEUE_TIME_FRACTION = 0.5;

    /**
     * Fraction of the target latency after which a call goes to another endpoint because no
     * connection is open. Nothing was sent by then, so that this is no further attempt. Leaves the
     * other endpoint more than half of the target.
     */
    private static final double CONNECT_WAIT_FRACTION = 0.4;

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

    private BufferedResponse lastErrorResponse;

    /** Response that was received completely by the attempt {@code source}. */
    private record BufferedResponse(
            int status, HttpHeaders headers, byte[] body, UnaryAttempt source) {}

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
        } else if (outcomeUnknown
                || runningAttempts.stream().anyMatch(a -> a.attempt.isWritten())) {
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
                        runningAttempt
                                .attempt
                                .endpoint()
                                .health()
                                .recordFailure(EventLoop.nowMillis()));
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
        UnaryAttempt newAttempt = new UnaryAttempt(endpoint, sentAttempts);
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
    private void leaveUnconnected(UnaryAttempt unconnected) {
        boolean isOnlyAttempt =
                runningAttempts.size() == 1 && runningAttempts.contains(unconnected);
        if (!isOnlyAttempt
                || unconnected.attempt.isWritten()
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

    private void handleResponse(
            UnaryAttempt endedAttempt,
            BufferedResponse response,
            EndpointResponse endpointResponse) {
        long now = EventLoop.nowMillis();
        if (endpointResponse.notRun()) {
            recordFailure(endedAttempt, endpointResponse);
            edge.recordDiverted(endpointResponse);
            logEnd(
                    "attempt.not-run",
                    endedAttempt,
                    "status=%d".formatted(endpointResponse.status()));
            endUnlessRetrying(trySendAgain() || tryQueueRejected());
            return;
        }
        if (!endpointResponse.signed()) {
            outcomeUnknown = true;
            handleFailure(
                    endedAttempt,
                    "unsigned response, status=%d".formatted(endpointResponse.status()));
            return;
        }
        if (endpointResponse.isServerError()) {
            lastErrorResponse = response;
            recordFailure(endedAttempt, endpointResponse);
            logEnd(
                    "attempt.failed",
                    endedAttempt,
                    "status=%d".formatted(endpointResponse.status()));
            endUnlessRetrying(isIdempotent() && trySendAgain());
            return;
        }
        endedAttempt
                .attempt
                .endpoint()
                .health()
                .recordSuccess(now, now - endedAttempt.startedAtMillis);
        deliver(response);
    }

    /** Logs how an attempt ended, with the connection by which its endpoint knows it. */
    private void logEnd(String event, UnaryAttempt ended, String detail) {
        logAttempt(event, ended.attempt.endpoint(), detail + " " + ended.describe());
    }

    private static void recordFailure(UnaryAttempt endedAttempt, EndpointResponse response) {
        if (!response.pushesBack()) {
            endedAttempt.attempt.endpoint().health().recordFailure(EventLoop.nowMillis());
        }
    }

    private void handleFailure(UnaryAttempt endedAttempt, String cause) {
        endedAttempt.attempt.endpoint().health().recordFailure(EventLoop.nowMillis());
        logEnd("attempt.broken", endedAttempt, cause);
        endUnlessRetrying(isIdempotent() && trySendAgain());
    }

    private void handleConnectFailure(UnaryAttempt endedAttempt, String cause) {
        endedAttempt.attempt.endpoint().health().recordUnreachable(EventLoop.nowMillis());
        logAttempt("attempt.not-connected", endedAttempt.attempt.endpoint(), cause);
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

    private void deliver(BufferedResponse response) {
        releaseResources();
        UnaryAttempt source = response.source();
        end(
                "answered",
                0,
                "status="
                        + response.status()
                        + " attempts="
                        + sentAttempts
                        + " endpoint="
                        + source.attempt.endpoint().record().id().value()
                        + ' '
                        + source.describe());
        client.sendResponse(response.status(), response.headers(), response.body());
    }

    /** Transmission of the call to one endpoint; buffers the response. */
    private final class UnaryAttempt implements AttemptListener {
        private final int number;
        private final Attempt attempt;
        private final RunningAttempt evidence;
        private final long startedAtMillis = EventLoop.nowMillis();
        private final ResponseBuffer body =
                new ResponseBuffer(edge.responseMemory(), MAX_RESPONSE_BYTES);
        private final double expectedMillis;
        private Future<?> connectTimer;
        private EndpointResponse endpointResponse;
        private HttpHeaders headers;

        UnaryAttempt(EndpointView endpoint, int number) {
            expectedMillis = CallPlacement.expectedMillis(endpoint);
            this.number = number;
            // Event ID, copy target, copy source and weight version apply only to streams.
            EndpointRequest request = buildForwardedRequest(endpoint, -1, null, null, -1);
            attempt = new Attempt(endpoint, request, call.requestId(), this);
            evidence = new RunningAttempt(attempt, call);
        }

        void start() {
            attempt.endpoint().beginRequest(0);
            edge.crashes().recordSent(evidence);
            long waitMillis = (long) (CONNECT_WAIT_FRACTION * call.route().targetLatencyMillis());
            connectTimer = after(Math.max(1, waitMillis), () -> leaveUnconnected(this));
            edge.pool().send(attempt);
        }

        /** Returns how long the answer is still expected to take, in milliseconds. */
        double remainingMillis() {
            return CallPlacement.remainingMillis(
                    expectedMillis, EventLoop.nowMillis() - startedAtMillis);
        }

        /** Returns the number of the attempt and its connection, for the log. */
        String describe() {
            return "attempt=" + number + " connection=" + attempt.describeConnection();
        }

        void stop() {
            if (runningAttempts.remove(this)) {
                attempt.cancel();
                releaseEndpoint();
            }
        }

        @Override
        public void onConnectFailure(String cause) {
            guard(
                    () -> {
                        finishAttempt();
                        UnaryExchange.this.handleConnectFailure(this, cause);
                    });
        }

        @Override
        public void onHead(HttpResponse response) {
            endpointResponse = edge.protocol().readResponse(response);
            headers = HopByHopHeaders.strip(response.headers());
            edge.recordSignals(attempt.endpoint(), endpointResponse, call.requestId());
            recordProgress();
        }

        private void recordProgress() {
            if (endpointResponse.signed() || endpointResponse.notRun()) {
                evidence.markAnswered();
            }
            if (endpointResponse.signed() && !endpointResponse.notRun() && !answered) {
                answered = true;
                edge.crashes().recordAnswered(call);
            }
        }

        @Override
        public void onBody(byte[] bytes) {
            if (!body.tryAdd(bytes)) {
                attempt.cancel();
                onFailure("response exceeds the size limit");
            }
        }

        @Override
        public void onComplete() {
            guard(this::handleEnd);
        }

        private void handleEnd() {
            finishAttempt();
            handleResponse(
                    this,
                    new BufferedResponse(
                            endpointResponse.status(), headers, body.toByteArray(), this),
                    endpointResponse);
        }

        @Override
        public void onFailure(String cause) {
            guard(() -> handleBreak(cause));
        }

        private void handleBreak(String cause) {
            finishAttempt();
            edge.crashes().recordFailure(evidence);
            outcomeUnknown = true;
            handleFailure(this, cause);
        }

        private void finishAttempt() {
            runningAttempts.remove(this);
            releaseEndpoint();
        }

        private void releaseEndpoint() {
            body.release();
            connectTimer.cancel(false);
            attempt.endpoint().endRequest(0);
            edge.crashes().recordEnded(evidence);
            boolean wasFull = endpointResponse != null && endpointResponse.notRun();
            if (!wasFull) {
                edge.queues().releaseOne(service);
            }
        }
    }
}
