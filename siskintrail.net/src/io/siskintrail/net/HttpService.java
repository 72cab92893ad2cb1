package io.siskintrail.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Serves small calls at one address: operators, endpoints, readiness, metrics. */
public final class HttpService implements Service {
    private static final System.Logger LOG = System.getLogger(HttpService.class.getName());
    private static final int IDLE_SECONDS = 60;

    private final int maxBodyBytes;
    private final Handler handler;
    private final TcpServer server;

    /** Answers calls, on the event loop. */
    @FunctionalInterface
    public interface Handler {

        /** Answers {@code call} now or later by {@code answer}, which is called once. */
        void handle(Call call, Consumer<Answer> answer);
    }

    /**
     * A call.
     *
     * @param method the method in capitals
     * @param target path and query as sent
     * @param body the body, empty if there is none
     */
    public record Call(String method, String target, byte[] body) {}

    /**
     * An answer.
     *
     * @param status the HTTP status
     * @param contentType the type of the body
     * @param body the body, may be empty
     */
    public record Answer(int status, String contentType, byte[] body) {}

    /**
     * Prepares a server.
     *
     * @param address where it listens
     * @param maxBodyBytes calls with a longer body get 413
     * @param handler answers the calls
     */
    public HttpService(
            EventLoop loop, InetSocketAddress address, int maxBodyBytes, Handler handler) {
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
        this.server = new TcpServer(loop, address, new Initializer());
    }

    /** Begins to listen, which {@link #awaitListening()} waits for. */
    @Override
    public void start() {
        server.listen();
    }

    /** Waits until the address is taken; not to be called on the event loop. */
    public void awaitListening() {
        server.awaitListening();
    }

    @Override
    public void stop() {
        server.close();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new ReadTimeoutHandler(IDLE_SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(maxBodyBytes))
                    .addLast(new Calls());
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean keep = HttpUtil.isKeepAlive(request);
            if (request.decoderResult().isFailure()) {
                write(
                        ctx,
                        new Answer(HttpResponseStatus.BAD_REQUEST.code(), "", new byte[0]),
                        false);
                return;
            }
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            Call call = new Call(request.method().name(), request.uri(), body);
            handler.handle(call, answer -> write(ctx, answer, keep));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LogEvent.debug(LOG, "http.connection.broken").with("cause", cause).write();
            ctx.close();
        }

        private void write(ChannelHandlerContext ctx, Answer answer, boolean keep) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(answer.body()));
            if (!answer.contentType().isEmpty()) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            }
            HttpUtil.setContentLength(response, answer.body().length);
            HttpUtil.setKeepAlive(response, keep);
            ctx.writeAndFlush(response)
                    .addListener(
                            f -> {
                                if (!keep) {
                                    ctx.close();
                                }
                            });
        }
    }
}
