package io.siskintrail.platform;

import io.siskintrail.edge.EdgeService;
import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a further edge on loopback beside that of a {@link LoopbackSystem}. */
final class LoopbackEdge implements AutoCloseable {
    private static final int MAX_POLLS = 600;
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final HttpClient http = HttpClient.newHttpClient();
    private final int frontPort = FreePorts.next();
    private final int readinessPort = FreePorts.next();
    private final EdgeService edge;

    /** Starts an edge that follows the registry with these ports. */
    LoopbackEdge(String host, int callPort, int linkPort) {
        this(host, callPort, linkPort, EdgeSettings.DEFAULT_MIN_HOSTS);
    }

    /** Starts an edge that shares the admission order from {@code sharedOrderMinHosts} edges on. */
    LoopbackEdge(String host, int callPort, int linkPort, long sharedOrderMinHosts) {
        edge =
                new EdgeService(
                        new EdgeSettings(
                                host,
                                "b",
                                "127.0.0.1",
                                "127.0.0.1:" + frontPort,
                                "127.0.0.1:" + readinessPort,
                                linkPort,
                                FreePorts.next(),
                                List.of("127.0.0.1:" + callPort),
                                1,
                                0,
                                0.8,
                                100,
                                10,
                                sharedOrderMinHosts),
                        new PlatformTrafficProtocol());
        edge.start();
    }

    /** Waits until the edge reports that it is ready. */
    void awaitReady() throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + readinessPort + "/api/ready");
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        for (int i = 0; i < MAX_POLLS; i++) {
            if (http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new AssertionError("the edge did not become ready");
    }

    /** Sends a raw request to the edge; returns all bytes until the connection is closed. */
    String sendRaw(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", frontPort)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(30));
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Override
    public void close() {
        edge.stop();
    }
}
