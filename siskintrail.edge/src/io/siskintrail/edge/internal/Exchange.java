package io.siskintrail.edge.internal;

import io.netty.util.concurrent.Future;
import io.siskintrail.edge.CopySource;
import io.siskintrail.edge.ForwardTerms;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.internal.traffic.WaitingRoom;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import java.util.function.Consumer;

/** The way of one request from its admission to its final answer. Used on the event loop. */
abstract class Exchange {
    private static final System.Logger LOG = System.getLogger(Exchange.class.getName());

    /** Retry-After of a host that stops: the client's next try reaches another host. */
    static final long STOPPING_RETRY_MILLIS = 10;

    /** The edge that the request came to. */
    protected final EdgeParts edge;

    /** The request. */
    protected final CallContext call;

    /** Where the answer goes. */
    protected final CallerConnection caller;

    /** The service that the request goes to, one of those of its route. */
    protected final ServiceName service;

    private final Consumer<Exchange> ended;
    private WaitingRoom.Waiting<Exchange> place;
    private Future<?> timeout;
    private boolean over;

    /** Takes a request that passed the filters; {@code ended} is called once, at its end. */
    Exchange(EdgeParts edge, CallContext call, CallerConnection caller, Consumer<Exchange> ended) {
        this.edge = edge;
        this.call = call;
        this.caller = caller;
        this.ended = ended;
        this.service = call.route().pick(edge.random().nextDouble());
    }

    /** Begins the work. */
    final void start() {
        long remaining = call.remainingMillis(EventLoop.nowMillis());
        timeout = edge.loop().after(remaining, this::timeUp);
        edge.budget(service).requested(EventLoop.nowMillis());
        begin();
    }

    /** Stops all work: the client has closed its connection. */
    final void clientGone() {
        if (over) {
            return;
        }
        release();
        end("client-gone", 0, "");
    }

    /** Ends the request because the process ends; the client may go on at another host. */
    final void hostStops() {
        if (over) {
            return;
        }
        if (!wasSent()) {
            refuse(ResultCode.NOT_RUN_SHUTTING_DOWN, "the host ends", STOPPING_RETRY_MILLIS);
            return;
        }
        release();
        end("broken-off", ResultCode.GENERATION_MOVED.number(), "the host ends");
        caller.abort();
    }

    /** Returns the bytes of the body that are held for further attempts. */
    final int bodyBytes() {
        return call.body().length;
    }

    /** Places the request, or lets it wait for room, or turns it away. */
    protected abstract void begin();

    /** Returns whether an endpoint may have seen the request. */
    protected abstract boolean wasSent();

    /** Cancels attempts and gives up places. */
    protected abstract void release();

    /** Answers when the time of the request is over. */
    protected abstract void timeUp();

    /** Tries to place a request that waits; returns whether it no longer waits. */
    protected abstract boolean placeWaiting();

    /**
     * Lets the request wait for room, or turns it away when the forecast says that it cannot start
     * in time.
     *
     * @param waitMillis the longest wait that is of use
     */
    protected final void waitForRoom(long waitMillis) {
        long latest = EventLoop.nowMillis() + waitMillis;
        place = edge.rooms().enter(this, call.rank(), latest);
        if (place == null) {
            long wait = edge.rooms().forecastMillis(service, call.rank());
            refuse(ResultCode.NOT_RUN_NO_ROOM, "forecast %d ms".formatted(wait), wait);
        }
    }

    /** Returns whether the request waits for room. */
    protected final boolean isWaiting() {
        return place != null;
    }

    /** Notes that the request no longer waits: it was placed. */
    protected final void placed() {
        place = null;
    }

    /** Gives up the place in the waiting room, if there is one. */
    protected final void leaveRoom() {
        if (place != null) {
            edge.rooms().leave(service, place);
            place = null;
        }
    }

    /** Returns whether the request has its final answer. */
    protected final boolean isOver() {
        return over;
    }

    /** Takes one further attempt from the budget of the service; false when there is none. */
    protected final boolean mayRepeat() {
        return edge.budget(service).tryTake(EventLoop.nowMillis(), edge.retryReserve());
    }

    /** Answers with a failure of this system. */
    protected final void refuse(ResultCode code, String detail, long retryAfterMillis) {
        release();
        end("refused", code.number(), detail);
        caller.refuse(new Failure(code, detail), retryAfterMillis);
    }

    /** Notes the end of the request. */
    protected final void end(String outcome, int code, String detail) {
        over = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        long millis = EventLoop.nowMillis() - call.arrivedAt();
        edge.stats().ended(call, outcome, code, millis);
        LogEvent.info(LOG, "request." + outcome)
                .with("request", call.requestId())
                .with("route", call.route().name())
                .with("account", call.accountId())
                .with("configuration", call.table().version())
                .with("code", code)
                .with("ms", millis)
                .with("detail", detail)
                .write();
        ended.accept(this);
    }

    /** Returns the request as it is sent to {@code endpoint}. */
    protected final EndpointRequest forward(
            EndpointView endpoint,
            long lastEventId,
            String copyAt,
            CopySource resumeFrom,
            long weightVersion) {
        ForwardTerms terms =
                new ForwardTerms(
                        call.remainingMillis(EventLoop.nowMillis()),
                        call.accountId(),
                        call.rank(),
                        endpoint.record().id(),
                        lastEventId,
                        copyAt,
                        resumeFrom,
                        weightVersion);
        return edge.forward(call, terms);
    }

    /** Logs the sending of an attempt. */
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
