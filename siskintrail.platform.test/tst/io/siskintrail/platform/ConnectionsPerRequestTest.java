package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Connections that an edge opens to endpoints, and calls that full endpoints reject. */
@Timeout(60)
class ConnectionsPerRequestTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":9000,"targetLatencyMs":1000,"priority":1,"service":"app",
              "maxAttempts":3},
             {"name":"fast","host":"h.example","pathPrefix":"/fast/","kind":"unsafe",
              "timeoutMs":9000,"targetLatencyMs":200,"priority":1,"service":"app",
              "maxAttempts":3},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":9000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":3,"resumable":true,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":16,
              "kvCapacityTokens":88000,"stride":6,"backups":false,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final String REFUSAL =
            "HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final int CALLS = 50;

    private static final int MAX_FILLERS = 64;
    private static final int FILLER_TIMEOUT_MILLIS = 300;

    @TempDir Path folder;
    private LoopbackSystem system;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    /** Guards against connections that are opened ahead of a call. */
    @Test
    void callOpensOneConnection() throws Exception {
        try (ScriptedEndpoint app = new ScriptedEndpoint((n, request, out) -> ok(request, out))) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            for (int i = 0; i < CALLS; i++) {
                assertThat(send("/once/x")).startsWith("HTTP/1.1 200");
            }

            assertThat(app.acceptedConnections()).isEqualTo(CALLS);
        }
    }

    /** Guards against a rejection of a call that an endpoint has room for shortly afterwards. */
    @Test
    void callThatFullEndpointRejectsIsSentAgain() throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (n, request, out) -> {
                            if (received.incrementAndGet() > 1) {
                                return ok(request, out);
                            }
                            out.write(Http.toBytes(REFUSAL));
                            return false;
                        })) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");

            assertThat(send("/once/x")).startsWith("HTTP/1.1 200");
            assertThat(received.get()).isEqualTo(2);
        }
    }

    /** Guards against a call that misses its target because an endpoint takes no connections. */
    @Test
    void callThatIsNotConnectedGoesElsewhere() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                LogLines lines = new LogLines("io.siskintrail.edge");
                ScriptedEndpoint app =
                        new ScriptedEndpoint((n, request, out) -> ok(request, out))) {
            fillBacklog(silent, fillers);
            String address = "127.0.0.1:" + silent.getLocalPort();
            system.register("silent", "app", address, "a");
            system.register("app", "app", app.address(), "z");
            system.awaitReady("llm");

            assertThat(send("/fast/x")).startsWith("HTTP/1.1 200");
            assertThat(lines.await("event=attempt.not-connected"))
                    .contains("detail=\"not connected yet\"");
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** Opens connections that are never accepted, until a further one is not opened in time. */
    private static void fillBacklog(ServerSocket server, List<Socket> fillers) throws IOException {
        for (int i = 0; i < MAX_FILLERS; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), FILLER_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        throw new AssertionError("the system accepts connections without a limit");
    }

    /** Guards against a call that waits for an endpoint although it cannot be served. */
    @Test
    void callThatIsAlwaysRejectedEndsAsNotRunAfterItsAttempts() throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (n, request, out) -> {
                            out.write(Http.toBytes(REFUSAL));
                            return false;
                        })) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String response = send("/once/x");

            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response).contains("not run");
            assertThat(app.requests()).hasSize(3);
        }
    }

    private static boolean ok(ReceivedRequest request, OutputStream out) throws IOException {
        out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
        return true;
    }

    private String send(String path) {
        try {
            return system.sendRaw(
                    Http.request("POST", path, "key-1", "p").replace("Ms: 2000", "Ms: 9000"));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
