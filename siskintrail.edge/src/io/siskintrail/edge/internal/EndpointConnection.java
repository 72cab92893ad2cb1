package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * Connection to an endpoint. Carries one request of a client, so that a late second answer to it
 * cannot meet another request: their IDs do not always tell answers apart, since an answer that is
 * cut inside its head takes over what follows it. The connection is closed behind the answer.
 *
 * <p>An order, whose response reaches no client, may follow the same order on a connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final System.Logger LOG = System.getLogger(EndpointConnection.class.getName());
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final String TIMEOUT_PREFIX = "timeout=";
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Maximum number of interim responses to a request; the head of each is limited by itself. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /**
     * Maximum number of bytes until the end of a response head, more than the decoder admits for
     * one: it skips blanks before a head without a limit.
     */
    private static final int MAX_HEAD_BYTES = 96 << 10;

    /** Assumed keep-alive timeout of an endpoint that does not announce one. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 2_000;

    private final String address;
    private final EndpointPool pool;
    private ChannelHandlerContext ctx;
    private Attempt attempt;
    private boolean reusable;
    private boolean responseComplete;
    private boolean requestSent;

    /** Why the request could not be written; null if it was, or may still be. */
    private Throwable sendFailure;

    private boolean headRequested;
    private boolean interim;
    private int interimResponses;
    private boolean headReceived;
    private int headBytes;
    private int sentRequests;
    private Attempt lastAttempt;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private long idleSinceMillis;

    EndpointConnection(String address, EndpointPool pool) {
        this.address = address;
        this.pool = pool;
    }

    /** Sends the request of {@code next}. */
    void send(Attempt next) {
        attempt = next;
        sentRequests++;
        lastAttempt = next;
        responseComplete = false;
        interimResponses = 0;
        headReceived = false;
        headBytes = 0;
        reusable = true;
        next.markWritten(this);
        EndpointRequest request = next.request();
        headRequested = HttpMethod.HEAD.name().equals(request.method());
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()),
                        request.headers(),
                        new DefaultHttpHeaders());
        requestSent = false;
        ctx.writeAndFlush(message).addListener(this::handleSent);
    }

    private void handleSent(Future<?> write) {
        requestSent = write.isSuccess();
        sendFailure = write.cause();
    }

    /** Returns whether {@code next} is the order that the connection carried last, given again. */
    boolean canCarry(Attempt next) {
        return lastAttempt.isSameOrder(next);
    }

    /** Closes the connection without notifying the listener of its attempt, if any. */
    void close() {
        attempt = null;
        ctx.close();
    }

    /** Reads from the endpoint, or lets it wait. */
    void setReading(boolean reading) {
        ctx.channel().config().setAutoRead(reading);
    }

    String address() {
        return address;
    }

    /**
     * Returns the local port of the connection, by which the endpoint knows it, and the number of
     * the last request on it, for the log.
     */
    String describe() {
        SocketAddress local = ctx.channel().localAddress();
        int port = local instanceof InetSocketAddress socket ? socket.getPort() : 0;
        return port + "/" + sentRequests;
    }

    /**
     * Returns whether the connection is open and has been idle for less than both {@code
     * maxIdleMillis} and the keep-alive timeout of the endpoint.
     */
    boolean isFresh(long nowMillis, long maxIdleMillis) {
        long idleForMillis = nowMillis - idleSinceMillis;
        return ctx.channel().isActive() && idleForMillis < Math.min(maxIdleMillis, keepAliveMillis);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            handleMessage((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (attempt == null && responseComplete) {
            responseComplete = false;
            returnToPool();
        }
    }

    /**
     * Closes the connection when the endpoint has closed its side. The decoder has completed a
     * response that ends there.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail("closed by endpoint");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.removeClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failAttempt(
                cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage());
        ctx.close();
    }

    /** Returns the handler that comes before the decoder. */
    ChannelInboundHandlerAdapter inputGuard() {
        return new InputGuard();
    }

    /** Returns the decoder of the responses to the requests that are sent here. */
    EndpointResponseDecoder newDecoder() {
        return new EndpointResponseDecoder(() -> headRequested);
    }

    private void handleMessage(HttpObject message) {
        if (attempt == null) {
            if (message instanceof HttpResponse response && ctx.channel().isActive()) {
                logUnexpected(pool.describeResponse(response));
            }
            ctx.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("response is not valid HTTP: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse response) {
            handleHead(response);
        }
        if (attempt != null && !interim && message instanceof HttpContent content) {
            handleContent(content);
        }
    }

    /** Logs what came although no request on this connection waits for a response. */
    private void logUnexpected(String detail) {
        LogEvent.warning(LOG, "endpoint.answered-again")
                .with("request", lastAttempt.requestId())
                .with("address", address)
                .with("connection", describe())
                .with("detail", detail)
                .write();
    }

    private void handleHead(HttpResponse response) {
        if (JoinedHeads.isJoined(response, attempt.requestId())) {
            fail("response is joined from two: " + pool.describeResponse(response));
            return;
        }
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (interim) {
            countInterimResponse();
            return;
        }
        headReceived = true;
        if (!pool.isAnswerTo(response, attempt)) {
            fail("response is not the answer: " + pool.describeResponse(response));
            return;
        }
        boolean selfDelimited =
                HttpUtil.isContentLengthSet(response)
                        || HttpUtil.isTransferEncodingChunked(response);
        reusable = attempt.isOrder() && selfDelimited && HttpUtil.isKeepAlive(response);
        parseKeepAlive(response.headers().get(KEEP_ALIVE));
        attempt.listener().onHead(response);
    }

    private void countInterimResponse() {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            fail("too many interim responses");
        }
    }

    private void handleContent(HttpContent content) {
        if (content.content().isReadable()) {
            attempt.listener().onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (attempt != null && content instanceof LastHttpContent) {
            responseComplete = true;
            AttemptListener listener = attempt.finish();
            attempt = null;
            if (!reusable || !requestSent) {
                ctx.close();
            }
            listener.onComplete();
        }
    }

    private void returnToPool() {
        if (!reusable || !ctx.channel().isActive()) {
            ctx.close();
            return;
        }
        setReading(true);
        idleSinceMillis = EventLoop.nowMillis();
        pool.addIdle(this);
    }

    /**
     * Closes the connection if bytes come that no request waits for, and fails the attempt if its
     * response has no head within the limit, or if the connection is lost.
     */
    private final class InputGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            int count = ((ByteBuf) message).readableBytes();
            if (attempt == null) {
                ReferenceCountUtil.release(message);
                logUnexpected("bytes=%d".formatted(count));
                context.close();
                return;
            }
            if (!headReceived) {
                headBytes += count;
            }
            if (headBytes <= MAX_HEAD_BYTES) {
                context.fireChannelRead(message);
                return;
            }
            ReferenceCountUtil.release(message);
            failAttempt("response head exceeds the size limit");
            context.close();
        }

        /**
         * Fails the attempt before the decoder takes the loss for the end of a response without a
         * length: that ends only where the endpoint closes its side. A reset that a write meets is
         * reported in no other way.
         */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            failAttempt(
                    sendFailure == null
                            ? "connection lost"
                            : "connection lost while the request was sent: " + sendFailure);
            context.fireChannelInactive();
        }
    }

    /** Fails the attempt and closes the connection, whose further bytes mean nothing. */
    private void fail(String cause) {
        failAttempt(cause);
        ctx.close();
    }

    private void failAttempt(String cause) {
        if (attempt == null) {
            return;
        }
        AttemptListener listener = attempt.finish();
        attempt = null;
        if (listener != null) {
            listener.onFailure(cause);
        }
    }

    private void parseKeepAlive(String headerValue) {
        if (headerValue == null) {
            return;
        }
        for (String part : headerValue.split(",")) {
            String parameter = part.trim();
            if (parameter.startsWith(TIMEOUT_PREFIX)) {
                try {
                    keepAliveMillis =
                            Long.parseLong(parameter.substring(TIMEOUT_PREFIX.length()))
                                    * MILLIS_PER_SECOND;
                } catch (NumberFormatException e) {
                    reusable = false;
                }
            }
        }
    }
}
