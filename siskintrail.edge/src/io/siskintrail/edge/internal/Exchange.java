package io.siskintrail.edge.internal;

import io.netty.util.concurrent.Future;
import io.siskintrail.edge.CopySource;
import io.siskintrail.edge.ForwardParameters;
import io.siskintrail.internal.traffic.admission.WaitingRoom;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import java.util.function.Consumer;

/**
 * Processing of one request from its acceptance to its final response. Confined to the event loop.
 */
abstract class Exchange {
    private static final System.Logger LOG = System.getLogger(Exchange.class.getName());

    /** Detail of a request that is refused because others like it crashed endpoints. */
    static final String CRASHED_ENDPOINTS = "requests like this crashed endpoints";

    /**
     * Retry-After of a request that is refused because others like it crashed endpoints: the
     * longest delay that clients accept.
     */
    static final long QUARANTINED_RETRY_MILLIS = 60_000;

    /** Shared components of the edge that received the request. */
    protected final EdgeContext edge;

    /** The request and what the filters learned about it. */
    protected final CallContext call;

    /** The response to the request. */
    protected final ClientResponse client;

    /** The service that the request goes to, one of those of its route. */
    protected final ServiceName service;

    private final Consumer<Exchange> onEnd;
    private WaitingRoom.Waiting<Exchange> queueEntry;
    private Future<?> deadlineTimer;
    private boolean ended;

    /** When the last retry was taken from the budget; 0 when there is none to return. */
    private long retryTakenAtMillis;

    /**
     * Creates the exchange of a request that passed the filters. {@code onEnd} is called once, at
     * its end.
     */
    Exchange(EdgeContext edge, CallContext call, ClientResponse client, Consumer<Exchange> onEnd) {
        this.edge = edge;
        this.call = call;
        this.client = client;
        this.onEnd = onEnd;
        this.service = call.route().chooseService(edge.random().nextDouble());
    }

    /** Starts the deadline timer and the first placement. */
    final void start() {
        long remainingMillis = call.remainingMillis(EventLoop.nowMillis());
        deadlineTimer = after(remainingMillis, this::handleTimeout);
        edge.retryBudgets().recordRequest(service);
        placeOrQueue();
    }

    /** Stops all work because the client closed its connection. */
    final void cancel() {
        client.abandon();
        if (ended) {
            return;
        }
        releaseResources();
        end("client-gone", 0, "");
    }

    /** Ends the request because the process stops; the client may continue at another host. */
    final void terminate() {
        if (ended) {
            return;
        }
        if (!mayHaveArrived()) {
            reject(ResultCode.NOT_RUN_SHUTTING_DOWN, "the host ends", edge.drainingRetryMillis());
            return;
        }
        if (!hasResponseStarted()) {
            reject(ResultCode.CALL_OUTCOME_UNKNOWN, "the host ends", 0);
            return;
        }
        releaseResources();
        end("broken-off", ResultCode.GENERATION_MOVED.number(), "the host ends");
        client.abort();
    }

    /** Ends the request because this host failed while processing it. */
    final void fail(Throwable cause) {
        if (ended && !client.isOpen()) {
            return;
        }
        LOG.log(
                System.Logger.Level.ERROR,
                "event=request.failed request=" + call.requestId(),
                cause);
        releaseAfterFailure();
        boolean hasStarted = hasResponseStarted();
        if (!ended) {
            String outcome = hasStarted ? "broken-off" : "refused";
            end(outcome, ResultCode.INTERNAL.number(), cause.toString());
        }
        if (hasStarted) {
            client.abort();
        } else {
            client.sendFailure(new Failure(ResultCode.INTERNAL, cause.toString()), 0);
        }
    }

    private void releaseAfterFailure() {
        try {
            releaseResources();
        } catch (RuntimeException | Error e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "event=request.release.failed request=" + call.requestId(),
                    e);
        }
    }

    /** Runs a step of the processing; ends the request if this host fails in it. */
    final void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            fail(e);
        }
    }

    /** Schedules a step of the processing after {@code millis}. */
    protected final Future<?> after(long millis, Runnable step) {
        return edge.loop().after(millis, () -> guard(step));
    }

    /** Responds because the queue time of the request has passed. */
    final void endQueued() {
        guard(this::handleTimeout);
    }

    /**
     * Tries to place a queued request, which leaves the queue unless it has to wait on. Rejects it
     * if this host stops before it could be answered.
     */
    final void tryPlaceQueued() {
        guard(this::placeOrRejectQueued);
    }

    private void placeOrRejectQueued() {
        if (edge.stopPlan().accepts(EventLoop.nowMillis(), call.route(), call.deadlineAtMillis())) {
            tryPlace();
        } else {
            reject(
                    ResultCode.NOT_RUN_SHUTTING_DOWN,
                    "its turn comes too late",
                    edge.drainingRetryMillis());
        }
    }

    /**
     * Ends a queued request that cannot start in time.
     *
     * @param detail position, places and forecast, for the log and the client
     * @param retryAfterMillis the Retry-After if it was not run, in milliseconds
     */
    final void endLate(String detail, long retryAfterMillis) {
        guard(() -> handleLate(detail, retryAfterMillis));
    }

    /** Returns the request ID, {@code -} if it is unknown. */
    final String requestId() {
        return call.requestId();
    }

    /**
     * Ends the request if it has the signature, which begins to be refused, and no endpoint has
     * begun to answer it. Its attempts are cancelled, so that they crash no more endpoints.
     */
    final void endIfRefused(CrashSignature signature) {
        CrashSuspect request = call.suspect();
        if (!ended && !isAnswered() && signature.matches(request.content(), request.parts())) {
            endRefused();
        }
    }

    /** Called when the client has taken what was sent to it, so that more may follow. */
    void handleClientWritable() {}

    /** Returns the size of the request body, which is buffered for retries, in bytes. */
    final int bodyBytes() {
        return call.body().length;
    }

    /** Places the request, queues it, or rejects it. */
    protected abstract void placeOrQueue();

    /** Returns whether an endpoint may have received the request. */
    protected abstract boolean mayHaveArrived();

    /** Returns whether the client has received a part of the response. */
    protected abstract boolean hasResponseStarted();

    /** Returns whether an endpoint has begun to answer the request. */
    protected abstract boolean isAnswered();

    /**
     * Ends a request that is refused because others like it crashed endpoints; as not run only if
     * no endpoint can have run it.
     */
    protected abstract void endRefused();

    /** Cancels the attempts and leaves the queue. */
    protected abstract void releaseResources();

    /** Responds when the deadline or the queue time of the request has passed. */
    protected abstract void handleTimeout();

    /** Ends a request that cannot start in time, as {@link #endLate} says. */
    protected void handleLate(String detail, long retryAfterMillis) {
        reject(ResultCode.NOT_RUN_NO_ROOM, detail, retryAfterMillis);
    }

    /** Tries to place a queued request; returns whether it no longer needs to wait. */
    protected abstract boolean tryPlace();

    /**
     * Queues the request, or rejects it if it cannot start in time according to the forecast or
     * because all endpoints push back.
     *
     * @param waitMillis the longest useful wait in milliseconds
     */
    protected final void enqueue(long waitMillis) {
        if (rejectIfPushedBack(waitMillis)) {
            return;
        }
        long latestStartMillis = EventLoop.nowMillis() + waitMillis;
        queueEntry = edge.queues().enqueue(this, call.rank(), latestStartMillis);
        if (queueEntry == null) {
            long forecastMillis = edge.queues().forecastMillis(service, call.rank());
            reject(
                    ResultCode.NOT_RUN_NO_ROOM,
                    "forecast %d ms".formatted(forecastMillis),
                    forecastMillis);
        }
    }

    /** Rejects the request if all endpoints push back for longer than it can wait. */
    protected final boolean rejectIfPushedBack(long waitMillis) {
        long pushBackMillis = edge.pushBackMillis(service);
        if (pushBackMillis == 0 || pushBackMillis <= waitMillis) {
            return false;
        }
        reject(ResultCode.NOT_RUN_ENDPOINT_FULL, "all endpoints push back", pushBackMillis);
        return true;
    }

    /** Returns whether the request is queued. */
    protected final boolean isQueued() {
        return queueEntry != null;
    }

    /** Removes the request from the queue, if it is queued. */
    protected final void leaveQueue() {
        if (queueEntry != null) {
            edge.queues().remove(service, queueEntry);
            queueEntry = null;
        }
    }

    /** Returns whether the final outcome of the request is decided. */
    protected final boolean hasEnded() {
        return ended;
    }

    /** Takes one retry from the budget of the service; returns false if none is left. */
    protected final boolean tryTakeRetry() {
        boolean taken = edge.retryBudgets().tryAcquire(service);
        retryTakenAtMillis = taken ? EventLoop.nowMillis() : retryTakenAtMillis;
        return taken;
    }

    /** Returns the retry of the last attempt, which reached no endpoint. */
    protected final void returnRetry() {
        if (retryTakenAtMillis != 0) {
            edge.retryBudgets().release(service, retryTakenAtMillis);
            retryTakenAtMillis = 0;
        }
    }

    /** Returns whether the budget of the service has a retry left. */
    protected final boolean hasRetryLeft() {
        return edge.retryBudgets().hasLeft(service);
    }

    /** Ends a refused request that no endpoint can have run. */
    protected final void rejectRefused() {
        reject(ResultCode.NOT_RUN_QUARANTINED, CRASHED_ENDPOINTS, QUARANTINED_RETRY_MILLIS);
    }

    /** Ends the request with an error response of this system. */
    protected final void reject(ResultCode code, String detail, long retryAfterMillis) {
        releaseResources();
        end("refused", code.number(), detail);
        client.sendFailure(new Failure(code, detail), retryAfterMillis);
    }

    /** Records and logs the outcome of the request. */
    protected final void end(String outcome, int code, String detail) {
        ended = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        long elapsedMillis = EventLoop.nowMillis() - call.arrivedAtMillis();
        edge.stats().recordRequest(call, outcome, code, elapsedMillis);
        LogEvent.info(LOG, "request." + outcome)
                .with("request", call.requestId())
                .with("route", call.route().name())
                .with("account", call.accountId())
                .with("configuration", call.table().version())
                .with("code", code)
                .with("ms", elapsedMillis)
                .with("detail", detail)
                .write();
        onEnd.accept(this);
    }

    /** Returns the request to send to {@code endpoint}. */
    protected final EndpointRequest buildForwardedRequest(
            EndpointView endpoint,
            long lastEventId,
            String copyAt,
            CopySource resumeFrom,
            long weightVersion) {
        ForwardParameters parameters =
                new ForwardParameters(
                        call.remainingMillis(EventLoop.nowMillis()),
                        call.accountId(),
                        call.rank(),
                        endpoint.record().id(),
                        lastEventId,
                        copyAt,
                        resumeFrom,
                        weightVersion);
        return edge.buildForwardedRequest(call, parameters);
    }

    /** Logs an event of an attempt at {@code endpoint}. */
    protected final void logAttempt(String event, EndpointView endpoint, String detail) {
        LogEvent.info(LOG, event)
                .with("request", call.requestId())
                .with("endpoint", endpoint.record().id())
                .with("state", endpoint.record().state())
                .with("sequence", endpoint.record().sequence())
                .with("running", endpoint.running())
                .with("detail", detail)
                .write();
    }
}
