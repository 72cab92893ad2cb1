package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import io.siskintrail.edge.EndpointResponse;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.placement.CallPlacement;
import io.siskintrail.net.EventLoop;

/**
 * One attempt of a unary call at an endpoint, whose response it buffers. Accounts for the place
 * that the attempt takes at the endpoint. Confined to the event loop.
 */
final class UnaryAttempt implements AttemptListener {
    /** Maximum size of a buffered response body. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    /**
     * Fraction of the target latency after which a call goes to another endpoint because no
     * connection is open. Nothing was sent by then, so that this is no further attempt. Leaves the
     * other endpoint more than half of the target.
     */
    private static final double CONNECT_WAIT_FRACTION = 0.4;

    private final EdgeContext edge;
    private final UnaryExchange exchange;
    private final CallContext call;
    private final int number;
    private final Attempt attempt;
    private final RunningAttempt evidence;
    private final long startedAtMillis = EventLoop.nowMillis();
    private final ResponseBuffer body;
    private final double expectedMillis;
    private Future<?> connectTimer;
    private EndpointResponse endpointResponse;
    private HttpHeaders headers;
    private boolean ended;

    /**
     * Creates an attempt without sending it.
     *
     * @param call the request of the client
     * @param number the number of the attempt in its exchange, counted from 1, for the log
     */
    UnaryAttempt(
            EdgeContext edge,
            UnaryExchange exchange,
            EndpointView endpoint,
            EndpointRequest request,
            CallContext call,
            int number) {
        this.edge = edge;
        this.exchange = exchange;
        this.call = call;
        this.number = number;
        this.body = new ResponseBuffer(edge.responseMemory(), MAX_RESPONSE_BYTES);
        this.expectedMillis = CallPlacement.expectedMillis(endpoint);
        this.attempt = new Attempt(endpoint, request, call.requestId(), this);
        this.evidence = new RunningAttempt(attempt, call);
    }

    /** Sends the request. */
    void start() {
        endpoint().beginRequest(0);
        edge.crashes().recordSent(evidence);
        long waitMillis = (long) (CONNECT_WAIT_FRACTION * call.route().targetLatencyMillis());
        connectTimer =
                exchange.after(Math.max(1, waitMillis), () -> exchange.leaveUnconnected(this));
        edge.pool().send(attempt);
    }

    /** Cancels the attempt, unless it has ended; the endpoint sees a closed connection. */
    void stop() {
        if (!ended) {
            attempt.cancel();
            release();
        }
    }

    EndpointView endpoint() {
        return attempt.endpoint();
    }

    /** Returns whether any byte may have reached the endpoint. */
    boolean isWritten() {
        return attempt.isWritten();
    }

    /** Returns when the attempt was created, in monotonic milliseconds. */
    long startedAtMillis() {
        return startedAtMillis;
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

    /** Returns the metadata of the response; null before its head. */
    EndpointResponse endpointResponse() {
        return endpointResponse;
    }

    /** Returns the headers of the response that are for the client; null before its head. */
    HttpHeaders headers() {
        return headers;
    }

    /** Returns what has come of the response body. */
    byte[] body() {
        return body.toByteArray();
    }

    @Override
    public void onConnectFailure(String cause) {
        exchange.guard(
                () -> {
                    release();
                    exchange.handleConnectFailure(this, cause);
                });
    }

    @Override
    public void onHead(HttpResponse response) {
        endpointResponse = edge.protocol().readResponse(response);
        headers = HopByHopHeaders.strip(response.headers());
        edge.recordSignals(endpoint(), endpointResponse, call.requestId());
        recordProgress();
    }

    private void recordProgress() {
        if (endpointResponse.signed() || endpointResponse.notRun()) {
            evidence.markAnswered();
        }
        if (endpointResponse.signed() && !endpointResponse.notRun()) {
            exchange.recordAnswered();
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
        exchange.guard(
                () -> {
                    release();
                    exchange.handleResponse(this);
                });
    }

    @Override
    public void onFailure(String cause) {
        exchange.guard(
                () -> {
                    release();
                    edge.crashes().recordFailure(evidence);
                    exchange.handleBreak(this, cause);
                });
    }

    private void release() {
        ended = true;
        body.release();
        connectTimer.cancel(false);
        endpoint().endRequest(0);
        edge.crashes().recordEnded(evidence);
        boolean wasFull = endpointResponse != null && endpointResponse.notRun();
        exchange.handleEnd(this, wasFull);
    }
}
