package io.siskintrail.platform;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import io.siskintrail.edge.EdgeService;
import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.registry.RegistryService;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Runs one registry and one edge on loopback, and makes operator, endpoint and client calls. */
final class LoopbackSystem implements AutoCloseable {
    private static final int MAX_POLLS = 600;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final int SMALL_WINDOW_BYTES = 4 << 10;
    private static final double RETRY_RESERVE = 100;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Path dataFolder;
    private final int linkPort = FreePorts.next();
    private RegistryService registry;
    private final EdgeService edge;
    private final int frontPort = FreePorts.next();
    private final int readinessPort = FreePorts.next();
    private final int callPort = FreePorts.next();

    /** Starts both with a stop grace period of one second. */
    LoopbackSystem(Path folder) throws IOException {
        this(folder, 1);
    }

    /** Starts both; the edge reads and writes requests with {@code protocol}. */
    LoopbackSystem(Path folder, TrafficProtocol protocol) throws IOException {
        this(folder, 1, 0, RETRY_RESERVE, protocol);
    }

    /** Starts both; the edge has {@code graceSeconds} to stop. */
    LoopbackSystem(Path folder, double graceSeconds) throws IOException {
        this(folder, graceSeconds, 0);
    }

    /** Starts both; a stopping edge still serves clients for {@code outOfRotationSeconds}. */
    LoopbackSystem(Path folder, double graceSeconds, double outOfRotationSeconds)
            throws IOException {
        this(
                folder,
                graceSeconds,
                outOfRotationSeconds,
                RETRY_RESERVE,
                new PlatformTrafficProtocol());
    }

    private LoopbackSystem(
            Path folder,
            double graceSeconds,
            double outOfRotationSeconds,
            double retryReserve,
            TrafficProtocol protocol)
            throws IOException {
        dataFolder = folder.resolve("data");
        registry = LoopbackRegistry.start(callPort, linkPort, FreePorts.next(), dataFolder);
        edge =
                new EdgeService(
                        new EdgeSettings(
                                "edge-1",
                                "a",
                                "127.0.0.1",
                                "127.0.0.1:" + frontPort,
                                "127.0.0.1:" + readinessPort,
                                linkPort,
                                FreePorts.next(),
                                List.of("127.0.0.1:" + callPort),
                                graceSeconds,
                                outOfRotationSeconds,
                                0.8,
                                retryReserve,
                                10),
                        protocol);
        edge.start();
    }

    /** Starts both; the edge may not retry a single request. */
    static LoopbackSystem withoutRetries(Path folder) throws IOException {
        return new LoopbackSystem(folder, 1, 0, 0, new PlatformTrafficProtocol());
    }

    /** Sends a configuration repeatedly until the registry acknowledges it. */
    void configure(String json) throws Exception {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (callRegistry("PUT", "/api/config", json).statusCode() == 200) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new AssertionError("the registry did not acknowledge the configuration");
    }

    /** Registers an endpoint of {@code service}. */
    void register(String id, String service, String address, String domain) throws Exception {
        String json =
                """
                {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":4,"state":"ready",
                 "coldRemainingMs":0,"sequence":1,"born":%d}
                """
                        .formatted(service, address, domain, System.currentTimeMillis());
        callRegistry("PUT", "/api/replicas/" + id, json);
    }

    /**
     * Waits until the edge reports that it is ready, which requires an endpoint of each service.
     *
     * @param unusedService service that gets an unreachable endpoint, since the test does not use
     *     it
     */
    void awaitReady(String unusedService) throws Exception {
        register("idle", unusedService, FreePorts.address(), "z");
        for (int i = 0; i < MAX_POLLS; i++) {
            if (readinessStatus() == 200) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new AssertionError("the edge did not become ready");
    }

    HttpResponse<String> callRegistry(String method, String path, String body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callPort + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Stops the edge and blocks until it has; other threads may make calls meanwhile. */
    void stopEdge() {
        edge.stop();
    }

    /** Lets the receiving side of each client connection of the edge fail with {@code cause}. */
    void failConnections(Throwable cause) throws Exception {
        forEachConnection(ctx -> ctx.pipeline().fireExceptionCaught(cause));
    }

    /** Lets the next write to each client connection of the edge fail with {@code cause}. */
    void failNextWrites(Throwable cause) throws Exception {
        forEachConnection(ctx -> ctx.pipeline().addBefore(ctx.name(), null, failing(cause)));
    }

    private static ChannelHandler failing(Throwable cause) {
        return new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(
                    ChannelHandlerContext context, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
                context.pipeline().remove(this);
                promise.setFailure(cause);
            }
        };
    }

    private void forEachConnection(Consumer<ChannelHandlerContext> action) throws Exception {
        Object server = read(read(edge, "edge"), "server");
        for (Object connection : List.copyOf((Collection<?>) read(server, "connections"))) {
            ChannelHandlerContext ctx = (ChannelHandlerContext) read(connection, "ctx");
            ctx.executor().submit(() -> action.accept(ctx)).sync();
        }
    }

    /**
     * Puts a connection with a part of a request, which fails at each write, before the others, of
     * which there must be one.
     */
    @SuppressWarnings("unchecked")
    void addBrokenConnection() throws Exception {
        Object server = read(read(edge, "edge"), "server");
        Collection<Object> connections = (Collection<Object>) read(server, "connections");
        Object first = List.copyOf(connections).get(0);
        Constructor<?> constructor = first.getClass().getDeclaredConstructor(server.getClass());
        constructor.setAccessible(true);
        Object broken = constructor.newInstance(server);
        Method startReceiving = broken.getClass().getDeclaredMethod("startReceiving");
        startReceiving.setAccessible(true);
        startReceiving.invoke(broken);
        Runnable insertion =
                () -> {
                    List<Object> others = List.copyOf(connections);
                    connections.clear();
                    connections.add(broken);
                    connections.addAll(others);
                };
        ((ChannelHandlerContext) read(first, "ctx")).executor().submit(insertion).sync();
    }

    private static Object read(Object owner, String field) throws ReflectiveOperationException {
        Field declared = owner.getClass().getDeclaredField(field);
        declared.setAccessible(true);
        return declared.get(owner);
    }

    /** Starts a further edge, which the caller must close. */
    LoopbackEdge startEdge(String host) {
        return new LoopbackEdge(host, callPort, linkPort);
    }

    /** Starts a further edge, which shares the order from {@code sharedOrderMinHosts} edges on. */
    LoopbackEdge startEdge(String host, long sharedOrderMinHosts) {
        return new LoopbackEdge(host, callPort, linkPort, sharedOrderMinHosts);
    }

    /** Stops the registry and starts it again with the same data and addresses. */
    void restartRegistry() {
        registry.stop();
        registry = LoopbackRegistry.start(callPort, linkPort, FreePorts.next(), dataFolder);
    }

    /** Returns the HTTP status of the edge's readiness endpoint. */
    int readinessStatus() throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + readinessPort + "/api/ready");
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** Opens a client connection to the edge. */
    Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", frontPort);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(30));
        return socket;
    }

    /** Opens a client connection whose receive buffer holds a few kilobytes. */
    Socket connectWithSmallWindow() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_WINDOW_BYTES);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(30));
        socket.connect(new InetSocketAddress("127.0.0.1", frontPort));
        return socket;
    }

    /** Sends a raw request to the edge; returns all bytes until the connection is closed. */
    String sendRaw(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Override
    public void close() {
        edge.stop();
        closeRegistry();
    }

    /** Stops the registry only. */
    void closeRegistry() {
        registry.stop();
    }
}
