package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
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
import io.siskintrail.net.EventLoop;

/**
 * A connection to an endpoint. Carries one request at a time, and is only used again when the
 * answer before was whole, was the right one, and nothing came after it.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";
    private static final long SECOND_MILLIS = 1_000;

    /** Assumed time that an endpoint keeps an idle connection when it does not say. */
    private static final long DEFAULT_IDLE_MILLIS = 2_000;

    private final String address;
    private final EndpointPool pool;
    private ChannelHandlerContext ctx;
    private Attempt attempt;
    private boolean reusable;
    private boolean answered;
    private boolean sent;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private long idleSince;

    EndpointConnection(String address, EndpointPool pool) {
        this.address = address;
        this.pool = pool;
    }

    /** Sends the request of {@code next}. */
    void send(Attempt next) {
        attempt = next;
        answered = false;
        reusable = true;
        next.sentOn(this);
        EndpointRequest r = next.request();
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(r.method()),
                        r.target(),
                        Unpooled.wrappedBuffer(r.body()),
                        r.headers(),
                        r.headers().copy().clear());
        sent = false;
        ctx.writeAndFlush(message).addListener(f -> sent = f.isSuccess());
    }

    /** Closes the connection; the attempt on it, if any, hears nothing. */
    void close() {
        attempt = null;
        ctx.close();
    }

    String address() {
        return address;
    }

    /**
     * Returns whether it can carry another request; older than {@code maxIdleMillis} does not
     * count.
     */
    boolean isFresh(long nowMillis, long maxIdleMillis) {
        long idle = nowMillis - idleSince;
        return ctx.channel().isActive() && idle < Math.min(maxIdleMillis, idleMillis);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (attempt == null && answered) {
            answered = false;
            idle();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail("closed by endpoint");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage());
        ctx.close();
    }

    private void read(HttpObject message) {
        if (attempt == null) {
            ctx.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("answer is not HTTP");
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse r) {
            head(r);
        }
        if (attempt != null && message instanceof HttpContent c) {
            content(c);
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        if (!pool.isAnswerTo(response, attempt.requestId())) {
            fail("answer to another request");
            ctx.close();
            return;
        }
        boolean framed =
                HttpUtil.isContentLengthSet(response)
                        || HttpUtil.isTransferEncodingChunked(response);
        reusable = framed && HttpUtil.isKeepAlive(response);
        readIdleTime(response.headers().get(KEEP_ALIVE));
        attempt.listener().head(response);
    }

    private void content(HttpContent content) {
        if (content.content().isReadable()) {
            attempt.listener().body(ByteBufUtil.getBytes(content.content()));
        }
        if (attempt != null && content instanceof LastHttpContent) {
            answered = true;
            AttemptListener listener = attempt.end();
            attempt = null;
            if (!reusable || !sent) {
                ctx.close();
            }
            listener.complete();
        }
    }

    private void idle() {
        if (!reusable || !ctx.channel().isActive()) {
            ctx.close();
            return;
        }
        idleSince = EventLoop.nowMillis();
        pool.idle(this);
    }

    private void fail(String cause) {
        if (attempt == null) {
            return;
        }
        AttemptListener listener = attempt.end();
        attempt = null;
        if (listener != null) {
            listener.broken(cause);
        }
    }

    private void readIdleTime(String keepAlive) {
        if (keepAlive == null) {
            return;
        }
        for (String part : keepAlive.split(",")) {
            String p = part.trim();
            if (p.startsWith(TIMEOUT)) {
                try {
                    idleMillis = Long.parseLong(p.substring(TIMEOUT.length())) * SECOND_MILLIS;
                } catch (NumberFormatException e) {
                    reusable = false;
                }
            }
        }
    }
}
