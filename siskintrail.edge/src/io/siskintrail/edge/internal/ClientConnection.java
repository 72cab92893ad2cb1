package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
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
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;

/**
 * Connection of a client. Requests on it are answered in order. The connection is read while a
 * request is processed, so that a disconnect is noticed at once.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());

    /** Requests that may queue behind the current one before reading pauses. */
    private static final int MAX_PENDING = 4;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final ClientServer server;
    private final Deque<ReceivedRequest> pending = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private Exchange current;

    /** Whether the current request waits for the first configuration. */
    private boolean holding;

    /** Whether the connection is new, or the client has sent a part of its next request. */
    private boolean requestExpected = true;

    private boolean keepAlive = true;
    private boolean closing;

    /** Whether the last bytes of a response are still to be written to the socket. */
    private boolean responsePending;

    /** Whether a response told the client that the connection closes behind it. */
    private boolean closeAnnounced;

    private String closeCause = "client";

    /**
     * Request that waits for its turn.
     *
     * @param call the request; null if it is unreadable
     * @param keepAlive whether the connection may stay open behind its response
     * @param unreadableCause why it is unreadable; null if it is not
     */
    private record ReceivedRequest(
            CallContext call, boolean keepAlive, Throwable unreadableCause) {}

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

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        requestExpected = false;
        if (closing) {
            return;
        }
        pending.add(receive(request));
        if (pending.size() > MAX_PENDING) {
            ctx.channel().config().setAutoRead(false);
        }
        startNext();
    }

    private static ReceivedRequest receive(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean keepAlive = isBodyTooLong(cause) && HttpUtil.isKeepAlive(request);
            return new ReceivedRequest(null, keepAlive, cause);
        }
        CallContext call =
                new CallContext(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        ByteBufUtil.getBytes(request.content()),
                        EventLoop.nowMillis());
        return new ReceivedRequest(call, HttpUtil.isKeepAlive(request), null);
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
            current.handleClientWritable();
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
        if (stoppedReading || isIdle()) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeCause = cause.toString();
        ctx.close();
    }

    /** Returns whether no request is being processed or queued, and all responses were sent. */
    boolean isIdle() {
        return current == null && !holding && !responsePending && pending.isEmpty();
    }

    /** Records that the head of a request was read. */
    void expectRequest() {
        requestExpected = true;
    }

    /**
     * Closes the connection if it is idle and no request is expected; otherwise its last response
     * will.
     */
    void closeIfIdle() {
        if (isIdle() && !requestExpected) {
            ctx.close();
        }
    }

    /** Ends the current request because the process stops. */
    void terminate() {
        if (current != null) {
            current.terminate();
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
            rejectUnreadable(next.unreadableCause());
            return;
        }
        CallContext call = next.call();
        holding = server.tryHold(call, () -> resume(call));
        if (!holding) {
            process(call);
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
        } catch (RuntimeException e) {
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
    private void fail(CallContext call, RuntimeException cause) {
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

    private void rejectUnreadable(Throwable cause) {
        boolean tooLong = server.isFrameTooLong(cause);
        server.recordUnreadable(tooLong ? ResultCode.INPUT_TOO_LONG : ResultCode.BAD_HEADER, cause);
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (isBodyTooLong(cause)) {
            status = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        } else if (tooLong) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
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
        server.addUnsentResponse();
        ctx.writeAndFlush(lastPart).addListener(write -> onResponseSent(write.isSuccess()));
    }

    private void onResponseSent(boolean success) {
        responsePending = false;
        server.removeUnsentResponse();
        if (!success) {
            closing = true;
            ctx.close();
            return;
        }
        if (closeAnnounced || server.isStopping() && pending.isEmpty()) {
            closing = true;
            closeCause = "last response sent";
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        startNext();
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
        if (!keepAlive || server.isStopping() && pending.isEmpty()) {
            closeAnnounced = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
