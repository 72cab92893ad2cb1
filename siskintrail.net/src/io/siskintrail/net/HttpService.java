package io.siskintrail.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.AnswerQueue.Next;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.service.ThreadFaults;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** HTTP server for small calls at one address: operator, endpoint, readiness and metrics calls. */
public final class HttpService implements Service {
    private static final System.Logger LOG = System.getLogger(HttpService.class.getName());
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    private final int maxBodyBytes;
    private final BodyBudget bodies;
    private final Handler handler;
    private final TcpServer server;
    private final ChannelGroup connections =
            new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
    private final AtomicInteger openCalls = new AtomicInteger();

    /** Handles calls, on the event loop. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles {@code call}; passes the answer to {@code answer} exactly once, now or later. A
         * call during which it throws is answered with an internal error.
         */
        void handle(Call call, Consumer<Answer> answer);
    }

    /**
     * HTTP request.
     *
     * @param method the HTTP method as sent
     * @param target the path and query as sent
     * @param body the request body; empty if there is none
     */
    public record Call(String method, String target, byte[] body) {}

    /**
     * HTTP response.
     *
     * @param status the HTTP status code
     * @param contentType the value of the Content-Type header; empty to send none
     * @param body the response body; may be empty
     */
    public record Answer(int status, String contentType, byte[] body) {}

    /**
     * Creates a server; {@link #start()} binds its address.
     *
     * @param address the address to listen on
     * @param maxBodyBytes the maximum size of a request body, and of all large ones of the calls in
     *     progress; larger requests get status 413, others wait unread until there is room
     * @param handler handles the calls
     */
    public HttpService(
            EventLoop loop, InetSocketAddress address, int maxBodyBytes, Handler handler) {
        this.maxBodyBytes = maxBodyBytes;
        this.bodies = new BodyBudget(maxBodyBytes);
        this.handler = handler;
        this.server = new TcpServer(loop, address, new ConnectionInitializer());
    }

    /** Starts to bind the address; {@link #awaitListening()} waits for the result. */
    @Override
    public void start() {
        server.listen();
    }

    /** Waits until the address is bound; must not be called on the event loop. */
    public void awaitListening() {
        server.awaitListening();
    }

    @Override
    public void stop() {
        server.close();
    }

    /**
     * Ends the service if no call is open and no large body is on its way: stops to listen and
     * closes its connections. To be called on the event loop, so that no call comes between the
     * look and the end.
     *
     * @return whether the service has ended
     */
    public boolean stopIfIdle() {
        if (openCalls() > 0 || bodyBytes() > 0 || waitingBodies() > 0) {
            return false;
        }
        stop();
        connections.close();
        return true;
    }

    /** Returns the number of calls whose answer has not left yet. May be called on any thread. */
    public int openCalls() {
        return openCalls.get();
    }

    /** Returns the bytes of the bodies of open calls. May be called on any thread. */
    public long bodyBytes() {
        return bodies.held();
    }

    /** Returns the number of calls whose body waits for room. May be called on any thread. */
    public int waitingBodies() {
        return bodies.waiting();
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            BodyGate gate = new BodyGate(bodies, maxBodyBytes);
            CallHandler calls = new CallHandler(gate);
            connections.add(channel);
            channel.pipeline()
                    .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(gate)
                    .addLast(new CallAggregator(maxBodyBytes, calls::refuseTooLarge))
                    .addLast(calls);
        }
    }

    /** Collects calls; reads no more of a call whose body is too large. */
    private static final class CallAggregator extends HttpObjectAggregator {
        private final Runnable tooLarge;

        CallAggregator(int maxBodyBytes, Runnable tooLarge) {
            super(maxBodyBytes);
            this.tooLarge = tooLarge;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.channel().config().setAutoRead(false);
            tooLarge.run();
        }
    }

    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final BodyGate gate;
        private AnswerQueue answers;

        CallHandler(BodyGate gate) {
            this.gate = gate;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            answers = new AnswerQueue(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            answers.closed();
            ctx.fireChannelInactive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            int charge = gate.takeCharge();
            if (answers.hasEnded()) {
                bodies.release(charge);
                return;
            }
            if (request.decoderResult().isFailure()) {
                open(Next.CLOSE, charge).accept(empty(HttpResponseStatus.BAD_REQUEST.code()));
                return;
            }
            Next next = HttpUtil.isKeepAlive(request) ? Next.FURTHER_CALLS : Next.CLOSE;
            handle(toCall(request), open(next, charge));
        }

        /** Refuses a call whose body is not read; the gate gives its charge back. */
        void refuseTooLarge() {
            if (!answers.hasEnded()) {
                open(Next.DELAYED_CLOSE, 0)
                        .accept(empty(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code()));
            }
        }

        private Consumer<Answer> open(Next next, int charge) {
            openCalls.incrementAndGet();
            return answers.add(
                    next,
                    () -> {
                        openCalls.decrementAndGet();
                        bodies.release(charge);
                    });
        }

        /** Handles {@code call}; answers it itself when the handler fails. */
        private void handle(Call call, Consumer<Answer> answer) {
            try {
                handler.handle(call, answer);
            } catch (RuntimeException | Error e) {
                LogEvent.warning(LOG, "http.call.failed")
                        .with("code", ResultCode.INTERNAL.number())
                        .with("method", call.method())
                        .with("target", call.target())
                        .with("cause", e)
                        .write();
                answer.accept(empty(ResultCode.INTERNAL.httpStatus()));
                ThreadFaults.caught(e);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LogEvent.debug(LOG, "http.connection.broken").with("cause", cause).write();
            ThreadFaults.caught(cause);
            ctx.close();
        }
    }

    private static Call toCall(FullHttpRequest request) {
        byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        return new Call(request.method().name(), request.uri(), body);
    }

    private static Answer empty(int status) {
        return new Answer(status, "", new byte[0]);
    }
}
