package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.EncoderException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests, whole or in part, on connections that fail, fall silent or are ended by a stop. */
@Timeout(60)
class EdgeRequestInsideTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":60000,"targetLatencyMs":500,"priority":1,"service":"app",
              "maxAttempts":1},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":60000,"targetLatencyMs":4000,"priority":0,"service":"app",
              "maxAttempts":5,"resumable":false,"targetGapMs":20000}],
             "services":[{"name":"app"}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,
              "idleTimeoutMs":500},
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    /** More than the idle limit and what an edge adds to it. */
    private static final long LONGER_THAN_IDLE_MILLIS = 4_000;

    /** More than a client's small window, and less than the socket of an edge buffers. */
    private static final int BUFFERED_BODY_BYTES = 64 << 10;

    private final CountDownLatch requestReceived = new CountDownLatch(1);
    private final CountDownLatch responseReleased = new CountDownLatch(1);
    private LoopbackSystem system;

    @TempDir Path folder;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder, 3);
        system.configure(CONFIGURATION);
    }

    @AfterEach
    void stop() {
        responseReleased.countDown();
        system.close();
    }

    /** Guards against a failure of the receiving side that cuts the request before it. */
    @ParameterizedTest
    @CsvSource({"once, false", "once, true", "gen, false", "gen, true"})
    void requestIsAnsweredWhenItsConnectionFailsBehindIt(String route, boolean outOfMemory)
            throws Exception {
        boolean streaming = route.equals("gen");
        ScriptedEndpoint.Script script =
                (number, request, out) -> {
                    if (streaming) {
                        Http.writeStreamHead(request, out);
                        Http.writeEvent(out, 1);
                    }
                    requestReceived.countDown();
                    await(responseReleased);
                    if (streaming) {
                        Http.writeEvent(out, 2);
                        Http.writeLastChunk(out);
                    } else {
                        out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                    }
                    return true;
                };
        try (ScriptedEndpoint app = new ScriptedEndpoint(script);
                Socket client = connectWhenReady(app)) {
            client.getOutputStream().write(Http.toBytes(keepAlive("/" + route + "/x", "p")));
            await(requestReceived);
            Http.sleep(100);

            system.failConnections(
                    outOfMemory
                            ? new OutOfMemoryError("injected")
                            : new IllegalStateException("injected"));
            Http.sleep(200);
            responseReleased.countDown();

            String text = readAll(client);
            assertThat(text).startsWith("HTTP/1.1 200");
            assertThat(text).endsWith(streaming ? "\r\n0\r\n\r\n" : "fine");
        }
    }

    /** Guards against a failure of the receiving side that drops a request without a status. */
    @ParameterizedTest
    @ValueSource(ints = {20, 180})
    void requestDuringWhoseReceptionTheConnectionFailsIsAnswered(int sentBytes) throws Exception {
        try (ScriptedEndpoint app = new ScriptedEndpoint(fine());
                Socket client = connectWhenReady(app)) {
            String request = keepAlive("/once/x", "p".repeat(1_000));
            client.getOutputStream().write(Http.toBytes(request.substring(0, sentBytes)));
            Http.sleep(200);

            system.failConnections(new IllegalStateException("injected"));

            String text = readAll(client);
            assertThat(text).startsWith("HTTP/1.1 500");
            assertThat(text).contains("1099");
        }
    }

    /** Guards against a stop that takes a connection with a part of a request for an idle one. */
    @ParameterizedTest
    @ValueSource(ints = {20, 300})
    void halfReceivedRequestIsAnsweredWhenTheEdgeStops(int sentBytes) throws Exception {
        try (ScriptedEndpoint app = new ScriptedEndpoint(fine());
                Socket client = connectWhenReady(app)) {
            String request = keepAlive("/once/x", "p".repeat(1_000));
            client.getOutputStream().write(Http.toBytes(request.substring(0, sentBytes)));
            Http.sleep(200);

            var stopping = CompletableFuture.runAsync(system::stopEdge);
            while (system.readinessStatus() == 200) {
                Http.sleep(10);
            }
            Http.sleep(500);
            String text = sendAndReadAll(client, request.substring(sentBytes));
            stopping.get();

            assertThat(text).startsWith(app.requests().isEmpty() ? "HTTP/1.1 503" : "HTTP/1.1 200");
            assertThat(text).containsMatch("(?i)connection: close");
        }
    }

    /** Guards against the end of a grace that drops a part of a request without an answer. */
    @ParameterizedTest
    @ValueSource(ints = {20, 300})
    void halfReceivedRequestIsRefusedAtTheEndOfTheGrace(int sentBytes) throws Exception {
        LoopbackSystem shortSystem = new LoopbackSystem(folder.resolve("short"), 1.5);
        shortSystem.configure(CONFIGURATION);
        try (ScriptedEndpoint app = new ScriptedEndpoint(fine());
                Socket client = connectWhenReady(shortSystem, app)) {
            String request = keepAlive("/once/x", "p".repeat(1_000));
            client.getOutputStream().write(Http.toBytes(request.substring(0, sentBytes)));
            Http.sleep(200);

            shortSystem.stopEdge();

            String text = readAll(client);
            assertThat(text).startsWith("HTTP/1.1 503");
            assertThat(text).contains("8001");
            assertThat(app.requests()).isEmpty();
        } finally {
            shortSystem.closeRegistry();
        }
    }

    /** Guards against a connection that fails at the end and leaves those behind it unanswered. */
    @Test
    void requestBehindAConnectionThatFailsAtTheEndOfTheGraceIsAnswered() throws Exception {
        ScriptedEndpoint.Script silent =
                (number, request, out) -> {
                    requestReceived.countDown();
                    await(responseReleased);
                    return false;
                };
        try (ScriptedEndpoint app = new ScriptedEndpoint(silent);
                Socket client = connectWhenReady(app)) {
            client.getOutputStream().write(Http.toBytes(keepAlive("/once/x", "p")));
            await(requestReceived);
            system.addBrokenConnection();

            system.stopEdge();

            String text = readAll(client);
            assertThat(text).startsWith("HTTP/1.1 502");
            assertThat(text).contains("5010");
        }
    }

    /** Guards against an answer that cannot be written and is replaced by nothing. */
    @Test
    void requestWhoseAnswerCannotBeWrittenIsAnswered() throws Exception {
        ScriptedEndpoint.Script held =
                (number, request, out) -> {
                    requestReceived.countDown();
                    await(responseReleased);
                    out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                    return true;
                };
        try (ScriptedEndpoint app = new ScriptedEndpoint(held);
                Socket client = connectWhenReady(app)) {
            client.getOutputStream().write(Http.toBytes(keepAlive("/once/x", "p")));
            await(requestReceived);
            system.failNextWrites(new EncoderException("injected"));
            responseReleased.countDown();

            String text = readAll(client);
            assertThat(text).startsWith("HTTP/1.1 500");
            assertThat(text).contains("1099");
        }
    }

    /** Guards against an answer that is destroyed by bytes that come after the close. */
    @Test
    void answerIsWholeWhenItsClientSendsOn() throws Exception {
        String body = "x".repeat(BUFFERED_BODY_BYTES);
        ScriptedEndpoint.Script large =
                (number, request, out) -> {
                    out.write(ScriptedEndpoint.signedResponse(request, 200, "", body));
                    return true;
                };
        try (ScriptedEndpoint app = new ScriptedEndpoint(large);
                Socket ready = connectWhenReady(app);
                Socket client = system.connectWithSmallWindow()) {
            client.getOutputStream()
                    .write(
                            Http.toBytes(
                                    keepAlive("/once/x", "p")
                                            .replace("r1\r\n", "r1\r\nConnection: close\r\n")));
            client.getInputStream().readNBytes(12);
            Http.sleep(200);
            trySend(client, "more");
            Http.sleep(200);

            String text = readAll(client);
            assertThat(text.length()).isAtLeast(BUFFERED_BODY_BYTES);
            assertThat(text).endsWith("x");
        }
    }

    /** Guards against a slow but steady upload that is cut off as idle. */
    @Test
    void requestThatIsSentForLongerThanTheIdleLimitIsAnswered() throws Exception {
        try (ScriptedEndpoint app = new ScriptedEndpoint(fine());
                Socket client = connectWhenReady(app)) {
            String request = keepAlive("/once/x", "p".repeat(1_000));
            int bodyStart = request.length() - 1_000;
            client.getOutputStream().write(Http.toBytes(request.substring(0, bodyStart)));
            int pieces = 20;
            int pieceBytes = 1_000 / pieces;
            for (int i = 0; i < pieces - 1; i++) {
                Http.sleep(LONGER_THAN_IDLE_MILLIS / pieces);
                trySend(client, "p".repeat(pieceBytes));
            }
            String text = sendAndReadAll(client, "p".repeat(pieceBytes), "fine");

            assertThat(text).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against a client that falls silent in a request and learns nothing. */
    @Test
    void requestThatStopsComingIsRefusedAtTheIdleLimit() throws Exception {
        try (ScriptedEndpoint app = new ScriptedEndpoint(fine());
                Socket client = connectWhenReady(app)) {
            client.getOutputStream()
                    .write(Http.toBytes(keepAlive("/once/x", "p").substring(0, 60)));

            assertThat(readAll(client)).startsWith("HTTP/1.1 408");
        }
    }

    private static ScriptedEndpoint.Script fine() {
        return (number, request, out) -> {
            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
            return true;
        };
    }

    private Socket connectWhenReady(ScriptedEndpoint app) throws Exception {
        return connectWhenReady(system, app);
    }

    /** Connects once the edge knows the limits of the configuration. */
    private static Socket connectWhenReady(LoopbackSystem target, ScriptedEndpoint app)
            throws Exception {
        target.register("app", "app", app.address(), "a");
        while (target.readinessStatus() != 200) {
            Http.sleep(10);
        }
        return target.connect();
    }

    private static String keepAlive(String path, String body) {
        return Http.request("POST", path, "key-1", body)
                .replace("Connection: close\r\n", "")
                .replace("Deadline-Ms: 2000", "Deadline-Ms: 60000");
    }

    private static void trySend(Socket client, String text) {
        try {
            client.getOutputStream().write(Http.toBytes(text));
        } catch (IOException e) {
            // The answer, or its lack, tells.
        }
    }

    private static String sendAndReadAll(Socket client, String text) {
        trySend(client, text);
        return readAll(client);
    }

    private static String sendAndReadAll(Socket client, String text, String end) {
        trySend(client, text);
        return readUntil(client, end);
    }

    private static String readAll(Socket client) {
        return readUntil(client, null);
    }

    /** Reads until {@code end} or the connection ends, also by a reset. */
    private static String readUntil(Socket client, String end) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            InputStream in = client.getInputStream();
            int octet = in.read();
            while (octet >= 0) {
                bytes.write(octet);
                if (end != null && bytes.toString(StandardCharsets.US_ASCII).endsWith(end)) {
                    break;
                }
                octet = in.read();
            }
        } catch (IOException e) {
            bytes.writeBytes(Http.toBytes("\n" + e));
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
