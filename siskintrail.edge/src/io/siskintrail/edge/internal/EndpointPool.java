package io.siskintrail.edge.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.siskintrail.edge.EndpointResponse;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.internal.traffic.endpoint.EndpointAddress;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.Addresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Pool of connections to endpoints. */
final class EndpointPool {
    /** Connect timeout; completing a handshake takes a few round trips. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** Probe timeout, many round trips: a live host answers a SYN packet within it. */
    private static final int PROBE_TIMEOUT_MILLIS = 80;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;

    /** Maximum size of a read: an endpoint that sends without pause must not delay the others. */
    private static final int MAX_READ_BYTES = 16 << 10;

    /** Reads of a connection before the event loop turns to the others. */
    private static final int MAX_READS_IN_A_ROW = 1;

    /** Maximum number of connections kept per endpoint for orders. */
    private static final int MAX_IDLE_PER_ENDPOINT = 4;

    /** Maximum idle time of a connection for orders, longer than the pause between two of them. */
    private static final long MAX_IDLE_MILLIS = 1_500;

    private final EventLoop loop;
    private final TrafficProtocol protocol;
    private final Bootstrap bootstrap;
    private final KeptConnections idle =
            new KeptConnections(MAX_IDLE_PER_ENDPOINT, MAX_IDLE_MILLIS);
    private final Map<String, List<Consumer<Boolean>>> pendingProbes = new HashMap<>();
    private long openedConnections;
    private long openedProbes;

    EndpointPool(EventLoop loop, TrafficProtocol protocol) {
        this.loop = loop;
        this.protocol = protocol;
        this.bootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .channelFactory(() -> loop.closeOnStop(new NioSocketChannel()))
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                        .maxMessagesPerRead(MAX_READS_IN_A_ROW))
                        .option(ChannelOption.TCP_NODELAY, true);
    }

    /** Sends the request of {@code attempt}; only an order may use a connection that was used. */
    void send(Attempt attempt) {
        String address = attempt.endpoint().record().address();
        EndpointConnection kept = attempt.isOrder() ? idle.take(address, attempt) : null;
        if (kept != null) {
            kept.send(attempt);
            return;
        }
        connect(address, attempt);
    }

    /**
     * Checks by opening a connection whether the endpoint at {@code address} is reachable. Callers
     * that ask while a check is under way share its result.
     */
    void probe(String address, Consumer<Boolean> onResult) {
        Optional<InetSocketAddress> socketAddress = parse(address);
        if (socketAddress.isEmpty()) {
            loop.execute(() -> onResult.accept(false));
            return;
        }
        List<Consumer<Boolean>> sharing = pendingProbes.get(address);
        if (sharing != null) {
            sharing.add(onResult);
            return;
        }
        pendingProbes.put(address, new ArrayList<>(List.of(onResult)));
        new EndpointDial(
                        loop,
                        PROBE_TIMEOUT_MILLIS,
                        millis -> openProbe(socketAddress.get(), millis),
                        () -> true,
                        (channel, cause) -> endProbe(address, channel))
                .start();
    }

    private ChannelFuture openProbe(InetSocketAddress address, int timeoutMillis) {
        openedConnections++;
        openedProbes++;
        return bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address);
    }

    private void endProbe(String address, Channel channel) {
        if (channel != null) {
            channel.close();
        }
        pendingProbes.remove(address).forEach(onResult -> onResult.accept(channel != null));
    }

    /** Closes the idle connections to an endpoint that is gone. */
    void closeIdle(String address) {
        idle.closeAll(address);
    }

    /** Closes connections that have exceeded the idle limit. */
    void closeExpired() {
        idle.closeExpired();
    }

    /** Returns the number of connections opened since the start. */
    long openedConnections() {
        return openedConnections;
    }

    /** Returns how many of the connections were opened only to check an endpoint. */
    long openedProbes() {
        return openedProbes;
    }

    /** Returns whether a response may answer the request of {@code attempt}. */
    boolean isAnswerTo(HttpResponse response, Attempt attempt) {
        String id = protocol.readResponse(response).requestId();
        return id.isEmpty() || id.equals(attempt.requestId());
    }

    /** Returns status and request ID of a response, for the log. */
    String describeResponse(HttpResponse response) {
        EndpointResponse endpointResponse = protocol.readResponse(response);
        return "status=%d id=%s".formatted(endpointResponse.status(), endpointResponse.requestId());
    }

    /** Keeps a connection whose order was answered for the next one. */
    void addIdle(EndpointConnection connection) {
        idle.add(connection);
    }

    void removeClosed(EndpointConnection connection) {
        idle.remove(connection);
    }

    /** Returns a literal IP address and port, empty if {@code address} is something else. */
    private static Optional<InetSocketAddress> parse(String address) {
        try {
            EndpointAddress.validate(address);
            return Optional.of(Addresses.parse(address));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void connect(String address, Attempt attempt) {
        Optional<InetSocketAddress> socketAddress = parse(address);
        if (socketAddress.isEmpty()) {
            loop.execute(() -> notifyConnectFailure(attempt, "address is not ip:port"));
            return;
        }
        new EndpointDial(
                        loop,
                        CONNECT_TIMEOUT_MILLIS,
                        millis -> open(address, socketAddress.get(), millis),
                        () -> !attempt.isFinished(),
                        (channel, cause) -> handleDialed(channel, cause, attempt))
                .start();
    }

    private ChannelFuture open(String address, InetSocketAddress socketAddress, int timeoutMillis) {
        openedConnections++;
        EndpointConnection connection = new EndpointConnection(address, this);
        return bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                // Tells the end of input, which may end a response, from the loss of a connection.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(connection.inputGuard())
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(connection.newDecoder())
                                        .addLast(connection);
                            }
                        })
                .connect(socketAddress);
    }

    private void handleDialed(Channel channel, Throwable cause, Attempt attempt) {
        if (attempt.isFinished()) {
            if (channel != null) {
                channel.close();
            }
            return;
        }
        if (channel != null) {
            channel.pipeline().get(EndpointConnection.class).send(attempt);
            return;
        }
        String failure = cause == null ? "unknown" : cause.getClass().getSimpleName();
        loop.execute(() -> notifyConnectFailure(attempt, failure));
    }

    private static void notifyConnectFailure(Attempt attempt, String cause) {
        AttemptListener listener = attempt.finish();
        if (listener != null) {
            listener.onConnectFailure(cause);
        }
    }
}
