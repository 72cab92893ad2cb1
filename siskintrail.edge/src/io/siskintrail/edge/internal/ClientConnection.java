package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Connection of a client. Requests on it are answered in order. The connection is read while a
 * request is processed, so that a disconnect is noticed at once.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());

    /** Requests that may queue behind the current one before reading pauses. */
    private static final int MAX_PENDING = 4;

    /** Longest time in which a request is received; as long as the default deadline of a call. */
    private static final long MAX_RECEIVE_MILLIS = 60_000;

    /** Longest time for which a client may take its last answer before the close. */
    private static final long LINGER_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final ClientServer server;
    private final Deque<ReceivedRequest> pending = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private Exchange current;

    /** Whether the current request waits for the first configuration. */
    private boolean holding;

    /** Whether the client has sent a part of a request. */
    private boolean used;

    private boolean keepAlive = true;
    private boolean closing;

    /** Whether a part of a request has come of which the rest is still to come. */
    private boolean receiving;

    private long receivingSinceMillis;

    /** Whether nothing that still comes is read as a request. */
    private boolean inputEnded;

    /** Whether the last bytes of a response are still to be written to the socket. */
    private boolean responsePending;

    /** Whether a response told the client that the connection closes behind it. */
    private boolean closeAnnounced;

    /** Whether a response that could not be sent was replaced by another one. */
    private boolean replaced;

    private String closeCause = "client";

    /**
     * Request that waits for its turn.
     *
     * @param call the request; null if it is unreadable
     * @param keepAlive whether the connection may stay open behind its response
     * @param unreadableCause why it is unreadable; null if it is not
     * @param hostFailed whether it is unreadable because this host failed
     */
    private record ReceivedRequest(
            CallContext call, boolean keepAlive, Throwable unreadableCause, boolean hostFailed) {}

    ClientConnection(ClientServer server) {
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.addConnection(this);
        context.fireChannelActive();
    }

    /** Records that the first bytes of a request have come. */
    void startReceiving() {
        if (closing || inputEnded) {
            return;
        }
        used = true;
        receiving = true;
        receivingSinceMillis = EventLoop.nowMillis();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (closing || inputEnded) {
            return;
        }
        ReceivedRequest received = receive(request);
        receiving = false;
        pending.add(received);
        if (pending.size() > MAX_PENDING) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    /** Starts the next request when all that were read together are queued. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        startNext();
        context.fireChannelReadComplete();
    }

    private static ReceivedRequest receive(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean keepAlive = isBodyTooLong(cause) && HttpUtil.isKeepAlive(request);
            return new ReceivedRequest(null, keepAlive, cause, false);
        }
        CallContext call =
                new CallContext(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        ByteBufUtil.getBytes(request.content()),
                        EventLoop.nowMillis());
        return new ReceivedRequest(call, HttpUtil.isKeepAlive(request), null, false);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.removeConnection(this);
        if (!isIdle()) {
            logClosedWithRequests(closeCause);
        }
        pending.clear();
        if (current != null) {
            Exchange abandoned = current;
            current = null;
            abandoned.cancel();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (current != null && isWritable()) {
            Exchange writable = current;
            writable.guard(writable::handleClientWritable);
        }
    }

    /** Returns whether the client takes what is sent, up to some kilobytes. */
    boolean isWritable() {
        return ctx.channel().isWritable();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            return;
        }
        // The first event of a silence comes also where bytes are leaving.
        boolean stoppedReading =
                idle.state() == IdleState.WRITER_IDLE && !idle.isFirst() && responsePending;
        if (stoppedReading || isFinished()) {
            ctx.close();
        } else if (receiving && !isAnswering() && isTooSlow(idle)) {
            refuseRest();
            sendEmpty(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    /** Returns whether a client sends nothing more of its request, or took too long to send it. */
    private boolean isTooSlow(IdleStateEvent idle) {
        return idle.state() == IdleState.READER_IDLE
                || EventLoop.nowMillis() - receivingSinceMillis > MAX_RECEIVE_MILLIS;
    }

    /**
     * Closes the connection if its socket failed or no request is inside. Otherwise the requests
     * that were received are answered first, also after an error: one request that cannot be read
     * is no reason to cut off others.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeCause = cause.toString();
        if (cause instanceof IOException || isIdle()) {
            ctx.close();
            return;
        }
        if (inputEnded) {
            return;
        }
        LOG.log(System.Logger.Level.ERROR, "event=client.input.failed", cause);
        boolean wasReceiving = receiving;
        endInput();
        if (wasReceiving) {
            pending.add(
                    new ReceivedRequest(null, false, cause, !(cause instanceof DecoderException)));
            startNext();
        }
    }

    /** Discards what still comes; a disconnect is noticed as before. */
    private void endInput() {
        receiving = false;
        inputEnded = true;
        ctx.pipeline().addFirst(new DiscardingReader());
        ctx.channel().config().setAutoRead(true);
    }

    /** Ends the reception of a request that is answered before it is whole. */
    private void refuseRest() {
        endInput();
        keepAlive = false;
    }

    /** Returns whether no request is inside, not even in part, and all responses were sent. */
    boolean isIdle() {
        return !receiving && !isAnswering();
    }

    /** Returns whether a request was received whole whose response is not yet sent. */
    boolean isAnswering() {
        return isRunning() || holding || responsePending || !pending.isEmpty();
    }

    /** Returns whether a request is processed whose response is not complete. */
    boolean isRunning() {
        return current != null;
    }

    /** Returns whether the response to the request of {@code exchange} is not complete. */
    boolean awaits(Exchange exchange) {
        return current == exchange;
    }

    /** Returns whether a response is complete but not yet written to the socket. */
    boolean isResponsePending() {
        return responsePending;
    }

    /** Returns whether no request is known behind the current one that will be answered. */
    private boolean isLast() {
        return pending.isEmpty() && (!receiving || server.isTerminating());
    }

    private boolean closesBehindLast() {
        return (server.isStopping() || inputEnded) && isLast();
    }

    /**
     * Applies the idle limit of a changed configuration; other limits apply to the next request.
     */
    void applyLimits() {
        ctx.pipeline().fireUserEventTriggered(IdleLimit.LimitsChanged.INSTANCE);
    }

    /**
     * Closes the connection if it was used and is idle; otherwise its last response will. The first
     * request of a connection that was just opened is on its way.
     */
    void closeIfIdle() {
        if (used && isFinished()) {
            ctx.close();
        }
    }

    /** Returns whether nothing is inside and no answer before the close is being received. */
    boolean isFinished() {
        return isIdle() && !closing;
    }

    /**
     * Ends the current request because the process stops, or refuses the one that is being
     * received.
     */
    void terminate() {
        if (current != null) {
            current.terminate();
        } else if (receiving && !isAnswering()) {
            refuseRest();
            ResultCode code = ResultCode.NOT_RUN_SHUTTING_DOWN;
            sendFailure(new Failure(code, "the host ends"), server.retryAfterMillis(code));
        }
    }

    /** Sends a complete response from an endpoint. */
    void sendResponse(int status, HttpHeaders headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body),
                        headers,
                        new DefaultHttpHeaders());
        HttpUtil.setContentLength(response, body.length);
        sendFinal(response);
    }

    /**
     * Sends an error response of this system.
     *
     * @param retryAfterMillis the Retry-After delay in milliseconds; 0 to omit the header
     */
    void sendFailure(Failure failure, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        ResultCode code = failure.code();
        if (retryAfterMillis > 0) {
            String retryAfterSeconds =
                    String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND);
            headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        String message = "%d %s\n".formatted(code.number(), code.meaning());
        sendResponse(code.httpStatus(), headers, message.getBytes(StandardCharsets.US_ASCII));
    }

    /** Starts a chunked response. */
    void startChunked(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        setConnectionHeader(response);
        ctx.write(response);
    }

    /** Sends the next body chunk. */
    void sendChunk(byte[] bytes) {
        ByteBuf chunk = Unpooled.wrappedBuffer(bytes);
        ctx.writeAndFlush(new DefaultHttpContent(chunk));
    }

    /** Ends a chunked response. */
    void endChunked() {
        writeEnd(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Closes the connection in the middle of a response, so that the client can tell that it is
     * incomplete.
     */
    void abort() {
        current = null;
        closing = true;
        ctx.close();
    }

    private void startNext() {
        if (current != null || holding || responsePending || closing || pending.isEmpty()) {
            return;
        }
        ReceivedRequest next = pending.poll();
        keepAlive = next.keepAlive();
        ctx.channel().config().setAutoRead(true);
        if (next.unreadableCause() != null) {
            rejectUnread(next);
            return;
        }
        CallContext call = next.call();
        begin(call);
    }

    private void begin(CallContext call) {
        try {
            holding = server.tryHold(call, () -> resume(call));
            if (!holding) {
                filterAndStart(call);
            }
        } catch (RuntimeException | Error e) {
            fail(call, e);
        }
    }

    private void resume(CallContext call) {
        holding = false;
        if (ctx.channel().isActive()) {
            process(call);
        }
    }

    private void process(CallContext call) {
        try {
            filterAndStart(call);
        } catch (RuntimeException | Error e) {
            fail(call, e);
        }
    }

    private void filterAndStart(CallContext call) {
        Optional<Failure> rejection = server.filter(call);
        if (rejection.isPresent()) {
            sendFailure(rejection.get(), server.retryAfterMillis(rejection.get().code()));
            return;
        }
        current = server.createExchange(this, call);
        current.start();
    }

    /** Answers a request during which this edge failed. */
    private void fail(CallContext call, Throwable cause) {
        if (current != null) {
            current.fail(cause);
            return;
        }
        LOG.log(
                System.Logger.Level.ERROR,
                "event=request.failed request=" + call.requestId(),
                cause);
        sendFailure(new Failure(ResultCode.INTERNAL, cause.toString()), 0);
    }

    private void rejectUnread(ReceivedRequest request) {
        if (request.hostFailed()) {
            Failure failure =
                    new Failure(ResultCode.INTERNAL, request.unreadableCause().toString());
            sendFailure(failure, 0);
        } else {
            rejectUnreadable(request.unreadableCause());
        }
    }

    private void rejectUnreadable(Throwable cause) {
        boolean tooLong = server.isFrameTooLong(cause);
        server.recordUnreadable(tooLong ? ResultCode.INPUT_TOO_LONG : ResultCode.BAD_HEADER, cause);
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (isBodyTooLong(cause)) {
            status = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        } else if (tooLong) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        sendEmpty(status);
    }

    private void sendEmpty(HttpResponseStatus status) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        HttpUtil.setContentLength(response, 0);
        sendFinal(response);
    }

    private static boolean isBodyTooLong(Throwable cause) {
        return cause instanceof TooLongHttpContentException;
    }

    private void sendFinal(FullHttpResponse response) {
        setConnectionHeader(response);
        writeEnd(response);
    }

    /** Writes the last part of a response; the request is over once the socket has taken it. */
    private void writeEnd(HttpObject lastPart) {
        current = null;
        responsePending = true;
        ctx.writeAndFlush(lastPart).addListener(write -> onResponseSent(lastPart, write.cause()));
    }

    private void onResponseSent(HttpObject lastPart, Throwable failure) {
        responsePending = false;
        if (failure != null) {
            handleUnsent(lastPart instanceof FullHttpResponse, failure);
            return;
        }
        if (closeAnnounced && server.isStopping() && !pending.isEmpty()) {
            refuseBehindLast(pending.poll());
            return;
        }
        if (closeAnnounced || closesBehindLast()) {
            closing = true;
            closeCause = "last response sent";
            linger();
            return;
        }
        startNext();
    }

    /**
     * Replaces a response that could not be encoded, once. A connection whose socket failed, or of
     * whose response a part may have been written, is closed.
     */
    private void handleUnsent(boolean whole, Throwable failure) {
        closeCause = failure.toString();
        if (!whole || replaced || failure instanceof IOException) {
            closing = true;
            ctx.close();
            return;
        }
        replaced = true;
        keepAlive = false;
        LOG.log(System.Logger.Level.ERROR, "event=client.response.failed", failure);
        sendFailure(new Failure(ResultCode.INTERNAL, failure.toString()), 0);
    }

    /** Refuses a request that came after the response before it had announced the close. */
    private void refuseBehindLast(ReceivedRequest request) {
        ResultCode code = ResultCode.NOT_RUN_SHUTTING_DOWN;
        Failure failure = new Failure(code, "behind the last response of its connection");
        if (request.call() != null) {
            server.recordRejection(request.call(), failure);
        }
        sendFailure(failure, server.retryAfterMillis(code));
    }

    /**
     * Ends the output and reads on for a while, until the client closes: a close while there are
     * unread bytes would destroy what the client has not yet received.
     */
    private void linger() {
        if (!inputEnded) {
            endInput();
        }
        ((DuplexChannel) ctx.channel()).shutdownOutput();
        ctx.executor().schedule(() -> ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Logs that the connection was closed before its requests had a complete response. */
    private void logClosedWithRequests(String cause) {
        LogEvent.info(LOG, "client.closed")
                .with("request", current == null ? "-" : current.requestId())
                .with("pending", pending.size())
                .with("stopping", server.isStopping())
                .with("cause", cause)
                .write();
    }

    private void setConnectionHeader(HttpResponse response) {
        if (!keepAlive || closesBehindLast()) {
            closeAnnounced = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
