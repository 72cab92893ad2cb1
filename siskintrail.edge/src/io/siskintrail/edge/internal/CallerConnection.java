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
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;

/**
 * A connection of a client. Requests on it are answered one after the other; while one is worked
 * on, the connection is still read, so that its end is noticed at once.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Requests that may wait behind the one that is worked on before reading stops. */
    private static final int MAX_PENDING = 4;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Front front;
    private final Deque<CallContext> pending = new ArrayDeque<>();
    private final Deque<Boolean> pendingKeep = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private Exchange current;
    private boolean keepAlive = true;
    private boolean closing;

    CallerConnection(Front front) {
        this.front = front;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        front.opened(this);
        context.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (closing) {
            return;
        }
        if (request.decoderResult().isFailure()) {
            keepAlive = false;
            refuseUnread(request);
            return;
        }
        CallContext call =
                new CallContext(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        ByteBufUtil.getBytes(request.content()),
                        EventLoop.nowMillis());
        pending.add(call);
        pendingKeep.add(HttpUtil.isKeepAlive(request));
        if (pending.size() > MAX_PENDING) {
            ctx.channel().config().setAutoRead(false);
        }
        next();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        front.closed(this);
        pending.clear();
        if (current != null) {
            Exchange gone = current;
            current = null;
            gone.clientGone();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && isIdle()) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ctx.close();
    }

    /** Returns whether no request is worked on. */
    boolean isIdle() {
        return current == null && pending.isEmpty();
    }

    /** Ends the connection after the answer that is being made; at once when there is none. */
    void closeWhenIdle() {
        keepAlive = false;
        if (isIdle()) {
            ctx.close();
        }
    }

    /** Ends the request that is worked on, since the process ends. */
    void hostStops() {
        if (current != null) {
            current.hostStops();
        }
    }

    /** Answers with what an endpoint said. */
    void answer(int status, HttpHeaders headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body),
                        headers,
                        new DefaultHttpHeaders());
        HttpUtil.setContentLength(response, body.length);
        finish(response);
    }

    /**
     * Answers with a failure of this system.
     *
     * @param retryAfterMillis when the client is to come back; 0 to leave that out
     */
    void refuse(Failure failure, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        ResultCode code = failure.code();
        if (retryAfterMillis > 0) {
            String seconds =
                    String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND);
            headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        String text = "%d %s\n".formatted(code.number(), code.meaning());
        answer(code.httpStatus(), headers, text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Begins an answer whose body comes in pieces. */
    void begin(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        setConnectionHeader(response);
        ctx.write(response);
    }

    /** Sends the next piece. */
    void piece(byte[] bytes) {
        ByteBuf buffer = Unpooled.wrappedBuffer(bytes);
        ctx.writeAndFlush(new DefaultHttpContent(buffer));
    }

    /** Ends an answer whose body came in pieces. */
    void end() {
        current = null;
        ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> answered());
    }

    /** Breaks an answer off, so that the client sees that it is not whole. */
    void abort() {
        current = null;
        closing = true;
        ctx.close();
    }

    private void next() {
        if (current != null || closing || pending.isEmpty()) {
            return;
        }
        CallContext call = pending.poll();
        keepAlive = pendingKeep.poll() && !front.isStopping();
        ctx.channel().config().setAutoRead(true);
        Optional<Failure> refusal = front.check(call);
        if (refusal.isPresent()) {
            refuse(refusal.get(), front.retryAfterMillis(refusal.get().code()));
            return;
        }
        current = front.exchange(this, call);
        current.start();
    }

    private void refuseUnread(FullHttpRequest request) {
        boolean tooLong = front.isTooLong(request.decoderResult().cause());
        ResultCode code = tooLong ? ResultCode.INPUT_TOO_LONG : ResultCode.BAD_HEADER;
        front.refusedUnread(code, request.decoderResult().cause());
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        tooLong
                                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                : HttpResponseStatus.BAD_REQUEST);
        HttpUtil.setContentLength(response, 0);
        finish((FullHttpResponse) response);
    }

    private void finish(FullHttpResponse response) {
        current = null;
        setConnectionHeader(response);
        ctx.writeAndFlush(response).addListener(f -> answered());
    }

    private void answered() {
        if (!keepAlive) {
            closing = true;
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        next();
    }

    private void setConnectionHeader(HttpResponse response) {
        if (!keepAlive || front.isStopping()) {
            keepAlive = false;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
