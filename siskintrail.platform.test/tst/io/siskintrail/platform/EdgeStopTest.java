package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
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

/** Requests of clients, and their effects on endpoints, while an edge is stopping. */
@Timeout(60)
class EdgeStopTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":60000,"targetLatencyMs":500,"priority":1,"service":"app",
              "maxAttempts":1},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":60000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":20000},
             {"name":"gen-once","host":"h.example","pathPrefix":"/gen-once/","kind":"streaming",
              "timeoutMs":60000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":false,"targetGapMs":20000}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"backups":true,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    /** More than the socket buffers of both ends hold, and less than an edge buffers. */
    private static final int UNSENT_BODY_BYTES = 7 << 20;

    /** Enough short streams for an edge to expect that further ones are short. */
    private static final int SHORT_STREAMS = 40;

    private static final int ENGINE_SLOTS = 4;

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

    @Test
    void openCallCompletesAndNewStreamIsRefused() throws Exception {
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
                ScriptedEndpoint engine = new ScriptedEndpoint((number, request, out) -> false)) {
            system.register("app", "app", app.address(), "a");
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("llm");
            var openCall = sendRawAsync(Http.request("POST", "/once/x", "key-1", ""));
            await(requestReceived);

            var stopping = CompletableFuture.runAsync(system::stopEdge);
            while (system.readinessStatus() == 200) {
                Http.sleep(10);
            }
            String refusal = system.sendRaw(Http.request("POST", "/gen/x", "key-1", "p"));
            responseReleased.countDown();

            assertThat(refusal).startsWith("HTTP/1.1 503");
            assertThat(refusal).contains("8001");
            assertThat(refusal).containsMatch("(?i)connection: close");
            assertThat(openCall.get()).startsWith("HTTP/1.1 200");
            assertThat(openCall.get()).endsWith("fine");
            stopping.get();
            assertThat(engine.requests()).isEmpty();
        }
    }

    @Test
    void streamBeyondTheGracePeriodEndsWithoutLastChunk() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            Http.writeStreamHead(request, out);
                            try {
                                for (int id = 1; id < 10_000; id++) {
                                    Http.writeEvent(out, id);
                                    requestReceived.countDown();
                                    Http.sleep(20);
                                }
                            } catch (IOException e) {
                                cancelled.countDown();
                                throw e;
                            }
                            return true;
                        })) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");
            String request = Http.request("POST", "/gen/x", "key-1", "p");
            var openCall = sendRawAsync(request.replace("Deadline-Ms: 2000", "Deadline-Ms: 60000"));
            await(requestReceived);

            system.stopEdge();

            assertThat(openCall.get()).startsWith("HTTP/1.1 200");
            assertThat(openCall.get()).contains("id: 1\n");
            assertThat(openCall.get()).doesNotContain("\r\n0\r\n\r\n");
            await(cancelled);
        }
    }

    @Test
    void idleConnectionIsClosedImmediately() throws Exception {
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    out.write(
                                            ScriptedEndpoint.signedResponse(
                                                    request, 200, "", "fine"));
                                    return true;
                                });
                Socket idleConnection = system.connect()) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String keepAliveRequest =
                    Http.request("POST", "/once/x", "key-1", "")
                            .replace("Connection: close\r\n", "");
            idleConnection.getOutputStream().write(Http.toBytes(keepAliveRequest));

            byte[] head = idleConnection.getInputStream().readNBytes(12);
            system.stopEdge();

            assertThat(new String(head, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
            byte[] remainder = idleConnection.getInputStream().readAllBytes();
            assertThat(new String(remainder, StandardCharsets.US_ASCII)).endsWith("fine");
        }
    }

    /**
     * Guards against an edge that is idle when it is asked to stop and exits while clients still
     * connect to it.
     */
    @Test
    void callAfterTheStopRequestIsServed() throws Exception {
        LoopbackSystem slowStopSystem = new LoopbackSystem(folder.resolve("awaited"), 120, 60);
        Thread stopper = new Thread(slowStopSystem::stopEdge, "stopper");
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                            return true;
                        })) {
            slowStopSystem.configure(CONFIGURATION);
            slowStopSystem.register("app", "app", app.address(), "a");
            slowStopSystem.awaitReady("llm");

            stopper.start();
            while (slowStopSystem.readinessStatus() == 200) {
                Http.sleep(10);
            }
            String response = slowStopSystem.sendRaw(Http.request("POST", "/once/x", "key-1", ""));

            assertThat(response).startsWith("HTTP/1.1 200");
        } finally {
            stopper.interrupt();
            stopper.join();
            slowStopSystem.closeRegistry();
        }
    }

    /** Guards against an edge that closes connections whose first request is on its way. */
    @ParameterizedTest(name = "{0} of {1} parts of the request have come")
    @CsvSource({"0, 2", "1, 2"})
    void requestOnItsWayWhenTheEdgeStopsIsAnswered(int partsBefore, int parts) throws Exception {
        LoopbackSystem slowStopSystem = new LoopbackSystem(folder.resolve("on-its-way"), 120, 60);
        Thread stopper = new Thread(slowStopSystem::stopEdge, "stopper");
        String request = Http.request("POST", "/once/x", "key-1", "x".repeat(200));
        int sentBefore = request.length() * partsBefore / parts;
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, received, out) -> {
                            out.write(ScriptedEndpoint.signedResponse(received, 200, "", "fine"));
                            return true;
                        })) {
            slowStopSystem.configure(CONFIGURATION);
            slowStopSystem.register("app", "app", app.address(), "a");
            slowStopSystem.awaitReady("llm");
            try (Socket client = slowStopSystem.connect()) {
                client.getOutputStream().write(Http.toBytes(request.substring(0, sentBefore)));
                slowStopSystem.sendRaw(Http.request("POST", "/once/x", "key-1", ""));

                stopper.start();
                while (slowStopSystem.readinessStatus() == 200) {
                    Http.sleep(10);
                }
                client.getOutputStream().write(Http.toBytes(request.substring(sentBefore)));
                byte[] response = client.getInputStream().readAllBytes();

                assertThat(new String(response, StandardCharsets.US_ASCII))
                        .startsWith("HTTP/1.1 200");
            }
        } finally {
            stopper.interrupt();
            stopper.join();
            slowStopSystem.closeRegistry();
        }
    }

    /** Guards against a request that is dropped since the stream before it announced the close. */
    @Test
    void requestBehindAStreamThatAnnouncedTheCloseIsRefused() throws Exception {
        LoopbackSystem slowStopSystem = new LoopbackSystem(folder.resolve("announced"), 120, 60);
        Thread stopper = new Thread(slowStopSystem::stopEdge, "stopper");
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            Http.writeStreamHead(request, out);
                            Http.writeEvent(out, 1);
                            await(responseReleased);
                            Http.writeLastChunk(out);
                            return true;
                        })) {
            slowStopSystem.configure(CONFIGURATION);
            slowStopSystem.register("e1", "llm", engine.address(), "a");
            slowStopSystem.awaitReady("app");
            String request =
                    Http.request("POST", "/gen/x", "key-1", "p")
                            .replace("Connection: close\r\n", "")
                            .replace("Deadline-Ms: 2000", "Deadline-Ms: 60000");
            try (Socket client = slowStopSystem.connect()) {
                stopper.start();
                while (slowStopSystem.readinessStatus() == 200) {
                    Http.sleep(10);
                }
                client.getOutputStream().write(Http.toBytes(request));
                byte[] head = client.getInputStream().readNBytes(12);
                client.getOutputStream().write(Http.toBytes(request.replace(": r1", ": r2")));
                Http.sleep(200);
                responseReleased.countDown();
                byte[] rest = client.getInputStream().readAllBytes();

                String text = new String(rest, StandardCharsets.US_ASCII);
                assertThat(new String(head, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
                assertThat(text).containsMatch("(?s)\r\n0\r\n\r\nHTTP/1.1 503 .*8001");
                assertThat(engine.requests()).hasSize(1);
            }
        } finally {
            stopper.interrupt();
            stopper.join();
            slowStopSystem.closeRegistry();
        }
    }

    /** Guards against an edge that exits while a client still reads its last answer. */
    @Test
    void answerThatAClientReadsSlowlyIsWholeWhenTheEdgeStops() throws Exception {
        String body = "x".repeat(UNSENT_BODY_BYTES);
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    out.write(
                                            ScriptedEndpoint.signedResponse(
                                                    request, 200, "", body));
                                    return true;
                                });
                Socket client = system.connectWithSmallWindow()) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            client.getOutputStream().write(Http.toBytes(keepAliveCall("r1")));
            byte[] firstBytes = client.getInputStream().readNBytes(12);

            var stopping = CompletableFuture.runAsync(system::stopEdge);
            while (system.readinessStatus() == 200) {
                Http.sleep(10);
            }
            byte[] remainder = client.getInputStream().readAllBytes();
            stopping.get();

            assertThat(new String(firstBytes, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
            assertThat(remainder.length).isAtLeast(UNSENT_BODY_BYTES);
        }
    }

    /** Guards against an edge that closes a connection with a further call inside. */
    @Test
    void callBehindASlowlyReadAnswerIsAnsweredWhenTheEdgeStops() throws Exception {
        String body = "x".repeat(UNSENT_BODY_BYTES);
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    boolean isSecond = "r2".equals(request.header("X-Request-Id"));
                                    if (isSecond) {
                                        Http.sleep(500);
                                    }
                                    out.write(
                                            ScriptedEndpoint.signedResponse(
                                                    request, 200, "", isSecond ? "second" : body));
                                    return true;
                                });
                Socket client = system.connectWithSmallWindow()) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            client.getOutputStream().write(Http.toBytes(keepAliveCall("r1")));
            client.getInputStream().readNBytes(12);
            client.getOutputStream().write(Http.toBytes(keepAliveCall("r2")));
            Http.sleep(100);

            var stopping = CompletableFuture.runAsync(system::stopEdge);
            while (system.readinessStatus() == 200) {
                Http.sleep(10);
            }
            byte[] remainder = client.getInputStream().readAllBytes();
            stopping.get();

            String text = new String(remainder, StandardCharsets.US_ASCII);
            assertThat(text.length()).isAtLeast(UNSENT_BODY_BYTES);
            boolean wasPassedOn = app.requests().size() == 2;
            assertThat(text.endsWith("second")).isEqualTo(wasPassedOn);
        }
    }

    /** Guards against a call that an edge cuts off at the end of its grace without an answer. */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/gen/x"})
    void requestThatOutlastsTheGraceIsAnswered(String path) throws Exception {
        ScriptedEndpoint.Script silent =
                (number, request, out) -> {
                    requestReceived.countDown();
                    await(responseReleased);
                    return false;
                };
        try (ScriptedEndpoint app = new ScriptedEndpoint(silent);
                ScriptedEndpoint engine = new ScriptedEndpoint(silent)) {
            system.register("app", "app", app.address(), "a");
            system.register("e1", "llm", engine.address(), "a");
            while (system.readinessStatus() != 200) {
                Http.sleep(10);
            }
            String request =
                    Http.request("POST", path, "key-1", "p")
                            .replace("Deadline-Ms: 2000", "Deadline-Ms: 60000");
            var openCall = sendRawAsync(request);
            await(requestReceived);

            system.stopEdge();

            assertThat(openCall.get()).startsWith("HTTP/1.1 502");
            assertThat(openCall.get()).contains("5010");
        }
    }

    /**
     * Guards against a request that comes late in the grace, or that cannot go on elsewhere, and is
     * passed on and cut at the end of the grace.
     */
    @ParameterizedTest(name = "{0}, {1} ms after the request to stop")
    @CsvSource({"/once/x, 1300", "/gen/x, 1300", "/gen-once/x, 1300", "/gen-once/x, 0"})
    void requestThatMayOutlastTheGraceIsNotPassedOn(String path, long sinceStopMillis)
            throws Exception {
        LoopbackSystem drainingSystem = new LoopbackSystem(folder.resolve("late"), 4, 1);
        ScriptedEndpoint.Script script =
                (number, request, out) -> {
                    Http.writeStreamHead(request, out);
                    Http.writeEvent(out, 1);
                    Http.sleep(Long.parseLong(request.body()));
                    Http.writeLastChunk(out);
                    return true;
                };
        try (ScriptedEndpoint app = new ScriptedEndpoint(script);
                ScriptedEndpoint engine = new ScriptedEndpoint(script)) {
            drainingSystem.configure(CONFIGURATION);
            drainingSystem.register("app", "app", app.address(), "a");
            drainingSystem.register("e1", "llm", engine.address(), "a");
            while (drainingSystem.readinessStatus() != 200) {
                Http.sleep(10);
            }
            for (int i = 0; i < SHORT_STREAMS; i++) {
                drainingSystem.sendRaw(Http.request("POST", "/gen/x", "key-1", "0"));
            }
            String open = Http.request("POST", "/gen/x", "key-1", "3000");
            var openStream =
                    CompletableFuture.supplyAsync(
                            () -> sendTo(drainingSystem, withLongDeadline(open)));
            while (engine.requests().size() == SHORT_STREAMS) {
                Http.sleep(10);
            }
            Thread stopper = new Thread(drainingSystem::stopEdge, "stopper");
            stopper.start();
            while (drainingSystem.readinessStatus() == 200) {
                Http.sleep(10);
            }
            Http.sleep(sinceStopMillis);

            String response =
                    drainingSystem.sendRaw(
                            withLongDeadline(Http.request("POST", path, "key-1", "6000")));
            stopper.join();

            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(app.requests()).isEmpty();
            assertThat(engine.requests()).hasSize(SHORT_STREAMS + 1);
            assertThat(openStream.get()).endsWith("\r\n0\r\n\r\n");
        } finally {
            drainingSystem.closeRegistry();
        }
    }

    /** Guards against a request whose turn comes late in the grace, and which is cut at its end. */
    @Test
    void queuedRequestThatMayOutlastTheGraceIsNotPassedOn() throws Exception {
        LoopbackSystem drainingSystem = new LoopbackSystem(folder.resolve("queue"), 4, 1);
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            Http.writeStreamHead(request, out);
                            Http.writeEvent(out, 1);
                            Http.sleep(Long.parseLong(request.body()));
                            Http.writeLastChunk(out);
                            return true;
                        })) {
            drainingSystem.configure(CONFIGURATION);
            drainingSystem.register("e1", "llm", engine.address(), "a");
            drainingSystem.awaitReady("app");
            for (int i = 0; i < SHORT_STREAMS; i++) {
                drainingSystem.sendRaw(Http.request("POST", "/gen/x", "key-1", "0"));
            }
            for (int i = 0; i < ENGINE_SLOTS; i++) {
                String open = Http.request("POST", "/gen/x", "key-1", "1600");
                CompletableFuture.supplyAsync(() -> sendTo(drainingSystem, open));
            }
            while (engine.requests().size() < SHORT_STREAMS + ENGINE_SLOTS) {
                Http.sleep(10);
            }
            String waiting = withLongDeadline(Http.request("POST", "/gen/x", "key-1", "6000"));
            var response = CompletableFuture.supplyAsync(() -> sendTo(drainingSystem, waiting));
            Http.sleep(200);

            drainingSystem.stopEdge();

            assertThat(response.get()).startsWith("HTTP/1.1 503");
            assertThat(response.get()).contains("8001");
            assertThat(engine.requests()).hasSize(SHORT_STREAMS + ENGINE_SLOTS);
        } finally {
            drainingSystem.closeRegistry();
        }
    }

    /** A client may come late if its deadline comes before the end of the grace. */
    @Test
    void lateCallWithAShortDeadlineIsServed() throws Exception {
        LoopbackSystem drainingSystem = new LoopbackSystem(folder.resolve("short"), 6, 0.5);
        Thread stopper = new Thread(drainingSystem::stopEdge, "stopper");
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            requestReceived.countDown();
                            boolean isOpen = "open".equals(request.body());
                            Http.sleep(isOpen ? 3_000 : 0);
                            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                            return true;
                        })) {
            drainingSystem.configure(CONFIGURATION);
            drainingSystem.register("app", "app", app.address(), "a");
            drainingSystem.awaitReady("llm");
            String longCall = withLongDeadline(Http.request("POST", "/once/x", "key-1", "open"));
            var openCall = CompletableFuture.supplyAsync(() -> sendTo(drainingSystem, longCall));
            await(requestReceived);
            stopper.start();
            Http.sleep(1_500);

            String response = drainingSystem.sendRaw(Http.request("POST", "/once/x", "key-1", "p"));

            assertThat(response).endsWith("fine");
            assertThat(openCall.get()).endsWith("fine");
            stopper.join();
        } finally {
            drainingSystem.closeRegistry();
        }
    }

    private static String withLongDeadline(String request) {
        return request.replace("Deadline-Ms: 2000", "Deadline-Ms: 20000");
    }

    private static String sendTo(LoopbackSystem target, String request) {
        try {
            return target.sendRaw(request);
        } catch (IOException e) {
            return "no response: " + e;
        }
    }

    private static String keepAliveCall(String id) {
        return Http.request("POST", "/once/x", "key-1", "")
                .replace("Connection: close\r\n", "")
                .replace("X-Request-Id: r1", "X-Request-Id: " + id);
    }

    private CompletableFuture<String> sendRawAsync(String request) {
        return CompletableFuture.supplyAsync(() -> sendTo(system, request));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
