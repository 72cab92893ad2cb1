package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import io.siskintrail.edge.EndpointAnswer;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.internal.traffic.RouteKind;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A short call: its answer is taken in whole before any of it is delivered, so that it can be tried
 * again where that is allowed. A call that may run only once is sent again only if the endpoint
 * cannot have read it, or says that it did not run it.
 */
final class CallExchange extends Exchange {
    private static final int SERVER_ERROR = 500;

    /** Endpoints that are dialed for one call before it is given up as not connected. */
    private static final int MAX_DIALS = 3;

    /** Largest answer that is held. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    /** Share of the target latency after which an idempotent call is sent a second time. */
    private static final double HEDGE_SHARE = 0.5;

    /** Share of the target latency that a call waits for room at most; the rest is for its work. */
    private static final double WAIT_SHARE = 0.5;

    /** Retry-After for an endpoint that refused although it seemed to have room. */
    private static final long REFUSED_RETRY_MILLIS = 80;

    /** Retry-After when no endpoint is known or can be reached: time to learn of another. */
    private static final long ABSENT_RETRY_MILLIS = 300;

    private final Set<EndpointId> tried = new HashSet<>();
    private final List<Try> running = new ArrayList<>(2);
    private Future<?> hedge;
    private int sent;
    private int dials;
    private boolean unknown;
    private Held lastFailure;

    /** An answer that was taken in whole. */
    private record Held(int status, HttpHeaders headers, byte[] body) {}

    CallExchange(
            EdgeParts edge, CallContext call, CallerConnection caller, Consumer<Exchange> ended) {
        super(edge, call, caller, ended);
    }

    @Override
    protected void begin() {
        if (placeWaiting()) {
            return;
        }
        if (edge.endpoints().of(service).isEmpty()) {
            refuse(ResultCode.NO_ENDPOINT, "no endpoint of the service", ABSENT_RETRY_MILLIS);
            return;
        }
        waitForRoom((long) (WAIT_SHARE * call.route().targetLatencyMillis()));
    }

    @Override
    protected boolean wasSent() {
        return sent > 0;
    }

    @Override
    protected void release() {
        if (hedge != null) {
            hedge.cancel(false);
        }
        leaveRoom();
        for (Try t : List.copyOf(running)) {
            t.stop();
        }
    }

    @Override
    protected void timeUp() {
        if (isOver()) {
            return;
        }
        if (isWaiting()) {
            long wait = edge.rooms().forecastMillis(service, call.rank());
            refuse(ResultCode.NOT_RUN_NO_ROOM, "waited for room", wait);
            return;
        }
        running.forEach(t -> t.attempt.endpoint().health().failed(EventLoop.nowMillis()));
        refuse(ResultCode.CALL_TIMED_OUT, "attempts=%d".formatted(sent), 0);
    }

    @Override
    protected boolean placeWaiting() {
        EndpointView endpoint =
                edge.calls()
                        .choose(
                                EventLoop.nowMillis(),
                                edge.endpoints().of(service),
                                e -> !tried.contains(e.record().id()) && hasRoom(e));
        if (endpoint == null) {
            return false;
        }
        placed();
        send(endpoint);
        return true;
    }

    private static boolean hasRoom(EndpointView e) {
        return e.running() < Math.max(1, e.record().slots());
    }

    private boolean isIdempotent() {
        return call.route().kind() == RouteKind.IDEMPOTENT;
    }

    private void send(EndpointView endpoint) {
        tried.add(endpoint.record().id());
        logAttempt("attempt.sent", endpoint, "attempt=%d".formatted(sent + 1));
        Try t = new Try(endpoint);
        running.add(t);
        sent++;
        t.start();
        if (isIdempotent() && sent < call.route().maxAttempts() && hedge == null) {
            long delay = (long) (HEDGE_SHARE * call.route().targetLatencyMillis());
            hedge = edge.loop().after(Math.max(1, delay), this::hedge);
        }
    }

    private void hedge() {
        if (!isOver() && running.size() == 1) {
            tryAgain();
        }
    }

    /** Sends the call to another endpoint if that is allowed; returns whether it did. */
    private boolean tryAgain() {
        if (sent >= call.route().maxAttempts()) {
            return false;
        }
        long now = EventLoop.nowMillis();
        EndpointView next =
                edge.calls()
                        .choose(
                                now,
                                edge.endpoints().of(service),
                                e -> !tried.contains(e.record().id()));
        if (next == null || !mayRepeat()) {
            return false;
        }
        send(next);
        return true;
    }

    private void finished(Try t, Held answer, EndpointAnswer said) {
        long now = EventLoop.nowMillis();
        if (said.notRun()) {
            t.attempt.endpoint().health().failed(now);
            logAttempt(
                    "attempt.not-run", t.attempt.endpoint(), "status=%d".formatted(said.status()));
            giveUpUnless(tryAgain());
            return;
        }
        if (!said.signed()) {
            unknown = true;
            failed(t, "unsigned answer, status=%d".formatted(said.status()));
            return;
        }
        if (said.status() >= SERVER_ERROR) {
            lastFailure = answer;
            t.attempt.endpoint().health().failed(now);
            logAttempt(
                    "attempt.failed", t.attempt.endpoint(), "status=%d".formatted(said.status()));
            giveUpUnless(isIdempotent() && tryAgain());
            return;
        }
        t.attempt.endpoint().health().succeeded(now, now - t.startedAt);
        edge.quarantine().succeeded(call.fingerprint());
        deliver(answer, t);
    }

    private void failed(Try t, String cause) {
        t.attempt.endpoint().health().failed(EventLoop.nowMillis());
        logAttempt("attempt.broken", t.attempt.endpoint(), cause);
        giveUpUnless(isIdempotent() && tryAgain());
    }

    private void notConnected(Try t, String cause) {
        t.attempt.endpoint().health().unreachable(EventLoop.nowMillis());
        logAttempt("attempt.not-connected", t.attempt.endpoint(), cause);
        sent--;
        dials++;
        if (dials < MAX_DIALS && placeWaiting()) {
            return;
        }
        giveUpUnless(false);
    }

    private void giveUpUnless(boolean goesOn) {
        if (goesOn || !running.isEmpty() || isOver()) {
            return;
        }
        if (lastFailure != null) {
            deliver(lastFailure, null);
        } else if (unknown) {
            refuse(ResultCode.CALL_OUTCOME_UNKNOWN, "attempts=%d".formatted(sent), 0);
        } else if (sent > 0) {
            refuse(
                    ResultCode.NOT_RUN_ENDPOINT_FULL,
                    "attempts=%d".formatted(sent),
                    REFUSED_RETRY_MILLIS);
        } else {
            refuse(
                    ResultCode.NOT_RUN_UNREACHABLE,
                    "dials=%d".formatted(dials),
                    ABSENT_RETRY_MILLIS);
        }
    }

    private void deliver(Held answer, Try from) {
        release();
        String endpoint = from == null ? "-" : from.attempt.endpoint().record().id().value();
        end(
                "answered",
                0,
                "status=%d attempts=%d endpoint=%s".formatted(answer.status(), sent, endpoint));
        caller.answer(answer.status(), answer.headers(), answer.body());
    }

    /** One attempt of the call. */
    private final class Try implements AttemptListener {
        private final Attempt attempt;
        private final long startedAt = EventLoop.nowMillis();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private EndpointAnswer said;
        private HttpHeaders headers;

        Try(EndpointView endpoint) {
            EndpointRequest request = forward(endpoint, -1, null, null, -1);
            attempt = new Attempt(endpoint, request, call.requestId(), this);
        }

        void start() {
            attempt.endpoint().begin(0);
            edge.quarantine().sent(attempt.endpoint(), call.fingerprint());
            edge.pool().send(attempt, isIdempotent());
        }

        void stop() {
            if (running.remove(this)) {
                attempt.cancel();
                leave();
            }
        }

        @Override
        public void notConnected(String cause) {
            over();
            CallExchange.this.notConnected(this, cause);
        }

        @Override
        public void head(HttpResponse response) {
            said = edge.protocol().readAnswer(response);
            headers = HopHeaders.without(response.headers());
        }

        @Override
        public void body(byte[] bytes) {
            body.writeBytes(bytes);
            if (body.size() > MAX_ANSWER_BYTES) {
                attempt.cancel();
                broken("answer too long");
            }
        }

        @Override
        public void complete() {
            over();
            finished(this, new Held(said.status(), headers, body.toByteArray()), said);
        }

        @Override
        public void broken(String cause) {
            over();
            edge.quarantine().broken(attempt.endpoint(), call.fingerprint());
            unknown = true;
            failed(this, cause);
        }

        private void over() {
            running.remove(this);
            leave();
        }

        private void leave() {
            attempt.endpoint().end(0);
            edge.quarantine().left(attempt.endpoint(), call.fingerprint());
            edge.rooms().released(service);
        }
    }
}
