package io.siskintrail.edge.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponse;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.Addresses;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;

/** Owns the connections to endpoints. */
final class EndpointPool {
    /** Time that a connection may take; the answer to an opening packet takes a few round trips. */
    private static final int CONNECT_MILLIS = 250;

    /** Time in which a host that is there answers an opening packet, many round trips. */
    private static final int PROBE_MILLIS = 80;

    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /** Idle connections that are kept to one endpoint. */
    private static final int MAX_IDLE = 4;

    /**
     * Longest idle time of a connection for a call that may not be repeated: an endpoint may close
     * an idle connection at any time, and a call that crosses that close is lost.
     */
    private static final long MAX_IDLE_ONCE_MILLIS = 400;

    /** Longest idle time for calls that can be sent again. */
    private static final long MAX_IDLE_MILLIS = 1_500;

    private final EventLoop loop;
    private final TrafficProtocol protocol;
    private final Bootstrap bootstrap;
    private final Map<String, Deque<EndpointConnection>> idle = new HashMap<>();
    private long opened;

    EndpointPool(EventLoop loop, TrafficProtocol protocol) {
        this.loop = loop;
        this.protocol = protocol;
        this.bootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true);
    }

    /**
     * Sends the request of {@code attempt}.
     *
     * @param repeatable whether it can be sent again if the connection turns out to be closed
     */
    void send(Attempt attempt, boolean repeatable) {
        String address = attempt.endpoint().record().address();
        EndpointConnection kept =
                takeIdle(address, repeatable ? MAX_IDLE_MILLIS : MAX_IDLE_ONCE_MILLIS);
        if (kept != null) {
            kept.send(attempt);
            return;
        }
        connect(address, attempt);
    }

    /** Opens a connection to see whether anybody answers at {@code address}. */
    void probe(String address, Consumer<Boolean> reached) {
        opened++;
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PROBE_MILLIS)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(Addresses.parse(address));
        connecting.addListener(
                f -> {
                    if (f.isSuccess()) {
                        connecting.channel().close();
                    }
                    reached.accept(f.isSuccess());
                });
    }

    /** Closes idle connections to an endpoint that is gone. */
    void forget(String address) {
        Deque<EndpointConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(EndpointConnection::close);
        }
    }

    /** Closes connections that have been idle for long. */
    void closeOld() {
        long now = EventLoop.nowMillis();
        for (Deque<EndpointConnection> connections : idle.values()) {
            Iterator<EndpointConnection> all = connections.iterator();
            while (all.hasNext()) {
                EndpointConnection c = all.next();
                if (!c.isFresh(now, MAX_IDLE_MILLIS)) {
                    all.remove();
                    c.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Returns the connections opened since the start. */
    long opened() {
        return opened;
    }

    boolean isAnswerTo(HttpResponse response, String requestId) {
        String id = protocol.readAnswer(response).requestId();
        return id == null || id.equals(requestId);
    }

    void idle(EndpointConnection connection) {
        Deque<EndpointConnection> connections =
                idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (connections.size() >= MAX_IDLE) {
            connection.close();
            return;
        }
        connections.push(connection);
    }

    void closed(EndpointConnection connection) {
        Deque<EndpointConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    private EndpointConnection takeIdle(String address, long maxIdleMillis) {
        Deque<EndpointConnection> connections = idle.get(address);
        long now = EventLoop.nowMillis();
        while (connections != null && !connections.isEmpty()) {
            EndpointConnection c = connections.pop();
            if (c.isFresh(now, maxIdleMillis)) {
                return c;
            }
            c.close();
        }
        return null;
    }

    private void connect(String address, Attempt attempt) {
        opened++;
        EndpointConnection connection = new EndpointConnection(address, this);
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(
                                                                MAX_LINE_BYTES,
                                                                MAX_HEADER_BYTES,
                                                                MAX_CHUNK_BYTES))
                                                .addLast(connection);
                                    }
                                })
                        .connect(Addresses.parse(address));
        connecting.addListener(f -> connected(f.isSuccess(), f.cause(), connection, attempt));
    }

    private void connected(
            boolean success, Throwable cause, EndpointConnection connection, Attempt attempt) {
        if (attempt.isOver()) {
            if (success) {
                connection.close();
            }
            return;
        }
        if (success) {
            connection.send(attempt);
            return;
        }
        String text = cause == null ? "unknown" : cause.getClass().getSimpleName();
        loop.execute(() -> tellNotConnected(attempt, text));
    }

    private static void tellNotConnected(Attempt attempt, String cause) {
        AttemptListener listener = attempt.end();
        if (listener != null) {
            listener.notConnected(cause);
        }
    }
}
