package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
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

/** Connections of clients with a request inside, and what else may end or fill them. */
@Timeout(60)
class EdgeConnectionTest {
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

    private static final int LARGE_BODY_BYTES = 7 << 20;

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

    /** Guards against the refusal of a request that takes the place of the answer before it. */
    @ParameterizedTest
    @CsvSource({
        "once, malformed, HTTP/1.1 400",
        "once, oversized, HTTP/1.1 413",
        "gen, malformed, HTTP/1.1 400",
        "gen, oversized, HTTP/1.1 413",
        "gen, expecting, HTTP/1.1 400"
    })
    void refusalOfAPipelinedRequestComesBehindTheAnswerBeforeIt(
            String route, String second, String refusal) throws Exception {
        boolean streaming = route.equals("gen");
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
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
                                        out.write(
                                                ScriptedEndpoint.signedResponse(
                                                        request, 200, "", "fine"));
                                    }
                                    return true;
                                });
                Socket client = connectWhenReady(app)) {
            client.getOutputStream().write(Http.toBytes(keepAlive("/" + route + "/x", "r1")));
            await(requestReceived);
            client.getOutputStream().write(Http.toBytes(unusable(second)));
            Http.sleep(300);
            responseReleased.countDown();

            String text = readAll(client);

            assertThat(text).startsWith("HTTP/1.1 200");
            assertThat(text).contains(streaming ? "id: 2\n" : "fine");
            assertThat(text).contains(refusal);
            assertThat(text.indexOf(refusal))
                    .isGreaterThan(text.indexOf(streaming ? "id: 2\n" : "fine"));
        }
    }

    /** Guards against a request that was read behind another one and is dropped by a stop. */
    @Test
    void pipelinedRequestIsAnsweredWhenTheEdgeStops() throws Exception {
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    requestReceived.countDown();
                                    await(responseReleased);
                                    out.write(
                                            ScriptedEndpoint.signedResponse(
                                                    request, 200, "", "fine"));
                                    return true;
                                });
                Socket client = connectWhenReady(app)) {
            client.getOutputStream().write(Http.toBytes(keepAlive("/once/x", "r1")));
            await(requestReceived);
            client.getOutputStream().write(Http.toBytes(keepAlive("/once/x", "r2")));
            Http.sleep(200);

            var stopping = CompletableFuture.runAsync(system::stopEdge);
            while (system.readinessStatus() == 200) {
                Http.sleep(10);
            }
            responseReleased.countDown();
            String text = readAll(client);
            stopping.get();

            assertThat(text.split("HTTP/1.1 ", -1)).hasLength(3);
            assertThat(text).containsMatch("(?i)connection: close");
        }
    }

    /** Guards against requests that are read together with a refused one and are dropped. */
    @Test
    void requestsReadTogetherWithARefusedOneAreAnsweredWhenTheEdgeStops() throws Exception {
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    requestReceived.countDown();
                                    await(responseReleased);
                                    out.write(
                                            ScriptedEndpoint.signedResponse(
                                                    request, 200, "", "fine"));
                                    return true;
                                });
                Socket holding = connectWhenReady(app)) {
            holding.getOutputStream().write(Http.toBytes(keepAlive("/once/x", "r1")));
            await(requestReceived);
            var stopping = CompletableFuture.runAsync(system::stopEdge);
            while (system.readinessStatus() == 200) {
                Http.sleep(10);
            }

            String batch = keepAlive("/none/x", "r2") + keepAlive("/none/x", "r3");
            String text;
            try (Socket client = system.connectWithSmallWindow()) {
                client.getOutputStream().write(Http.toBytes(batch));
                text = readAll(client);
            }
            responseReleased.countDown();
            stopping.get();

            assertThat(text.split("HTTP/1.1 ", -1)).hasLength(3);
        }
    }

    /** Guards against a client that reads slowly but steadily and is cut off as idle. */
    @Test
    void answerThatIsReadForLongerThanTheIdleLimitIsWhole() throws Exception {
        String body = "x".repeat(LARGE_BODY_BYTES);
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    out.write(
                                            ScriptedEndpoint.signedResponse(
                                                    request, 200, "", body));
                                    return true;
                                });
                Socket client = connectWhenReady(app)) {
            client.getOutputStream()
                    .write(
                            Http.toBytes(
                                    keepAlive("/once/x", "r1")
                                            .replace("r1\r\n", "r1\r\nConnection: close\r\n")));
            InputStream in = client.getInputStream();
            long read = 0;
            int pieces = 60;
            byte[] piece = new byte[LARGE_BODY_BYTES / pieces];
            for (int i = 0; i < pieces; i++) {
                read += in.readNBytes(piece, 0, piece.length);
                Http.sleep(80);
            }
            read += in.readAllBytes().length;

            assertThat(read).isAtLeast((long) LARGE_BODY_BYTES);
        }
    }

    /** Guards against a body behind the answer to HEAD, where the client awaits the next answer. */
    @ParameterizedTest
    @CsvSource({"none, HTTP/1.1 404", "once, HTTP/1.1 200", "gen, HTTP/1.1 200"})
    void answerToHeadIsFollowedByTheNextAnswer(String route, String status) throws Exception {
        ScriptedEndpoint.Script script =
                (number, request, out) -> {
                    boolean isHead = request.head().startsWith("HEAD ");
                    if (isHead && route.equals("gen")) {
                        Http.writeStreamHead(request, out);
                    } else {
                        String body = isHead ? "" : "fine";
                        out.write(ScriptedEndpoint.signedResponse(request, 200, "", body));
                    }
                    return true;
                };
        try (ScriptedEndpoint app = new ScriptedEndpoint(script);
                Socket client = connectWhenReady(app)) {
            String head = keepAlive("/" + route + "/x", "r1").replace("POST ", "HEAD ");
            String last =
                    keepAlive("/once/x", "r2").replace("r2\r\n", "r2\r\nConnection: close\r\n");
            client.getOutputStream().write(Http.toBytes(head + last));

            String text = readAll(client);

            assertThat(text).startsWith(status);
            String behindHead = text.substring(text.indexOf("\r\n\r\n") + "\r\n\r\n".length());
            assertThat(behindHead).startsWith("HTTP/1.1 200");
            assertThat(behindHead).endsWith("fine");
        }
    }

    private void awaitEndpoint(ScriptedEndpoint app) throws Exception {
        system.register("app", "app", app.address(), "a");
        while (system.readinessStatus() != 200) {
            Http.sleep(10);
        }
    }

    /** Connects once the edge knows the limits of the configuration. */
    private Socket connectWhenReady(ScriptedEndpoint app) throws Exception {
        awaitEndpoint(app);
        return system.connectWithSmallWindow();
    }

    private static String unusable(String kind) {
        return switch (kind) {
            case "malformed" -> "POST /once/x HTTP/1.1\r\nno colon\r\n\r\n";
            case "expecting" ->
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 1\r\n\r\nx";
            default ->
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100000\r\n\r\n"
                            + "x".repeat(100_000);
        };
    }

    private static String keepAlive(String path, String id) {
        return Http.request("POST", path, "key-1", "")
                .replace("Connection: close\r\n", "")
                .replace("Deadline-Ms: 2000", "Deadline-Ms: 60000")
                .replace("X-Request-Id: r1", "X-Request-Id: " + id);
    }

    /** Reads until the connection ends, also by a reset. */
    private static String readAll(Socket client) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            InputStream in = client.getInputStream();
            int octet = in.read();
            while (octet >= 0) {
                bytes.write(octet);
                octet = in.read();
            }
        } catch (java.io.IOException e) {
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
