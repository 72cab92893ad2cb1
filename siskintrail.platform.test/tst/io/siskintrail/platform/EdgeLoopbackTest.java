package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.siskintrail.edge.CallMetadata;
import io.siskintrail.internal.traffic.placement.PromptId;
import io.siskintrail.lib.Result;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of an edge whose endpoints fail or whose clients misbehave. */
class EdgeLoopbackTest {
    /** Time in which an endpoint on a busy machine reads a request that was written. */
    private static final long ARRIVAL_SECONDS = 10;

    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":60000,"targetLatencyMs":1000,"priority":1,"service":"app",
              "maxAttempts":1},
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":2},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":9000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"backups":true,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    @TempDir Path folder;
    private LoopbackSystem system;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION.formatted(7));
    }

    @AfterEach
    void stop() {
        system.close();
    }

    enum Fault {
        UNSIGNED,
        CUT_SHORT,
        NO_HTTP,
        OTHER_ID,
        CLOSED
    }

    @ParameterizedTest
    @CsvSource({
        "UNSIGNED, safe, 200", "CUT_SHORT, safe, 200", "NO_HTTP, safe, 200", "OTHER_ID, safe, 200",
        "CLOSED, safe, 200", "UNSIGNED, once, 502", "CUT_SHORT, once, 502", "NO_HTTP, once, 502",
        "OTHER_ID, once, 502", "CLOSED, once, 502"
    })
    void invalidResponseIsNeverDelivered(Fault fault, String route, int expected) throws Exception {
        try (ScriptedEndpoint faulty =
                        new ScriptedEndpoint(
                                (number, request, out) ->
                                        writeInvalidResponse(fault, request, out));
                ScriptedEndpoint good =
                        new ScriptedEndpoint(
                                (number, request, out) -> respondOk(request, out, "good"))) {
            system.register("bad", "app", faulty.address(), "a");
            system.register("good", "app", good.address(), "b");
            system.awaitReady("llm");

            String response =
                    system.sendRaw(Http.request("POST", "/" + route + "/x", "key-1", "body"));

            assertThat(response).startsWith("HTTP/1.1 " + expected);
            assertThat(response.contains("bad")).isFalse();
            assertThat(faulty.requests().size() + good.requests().size())
                    .isEqualTo(route.equals("safe") ? 2 : 1);
        }
    }

    @Test
    void surplusResponseIsNotUsedForTheNextRequest() throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "one"));
                            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "two"));
                            return true;
                        })) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String first = system.sendRaw(Http.request("POST", "/once/x", "key-1", ""));
            String second = system.sendRaw(Http.request("POST", "/once/y", "key-1", ""));

            assertThat(first).endsWith("one");
            assertThat(second).endsWith("one");
            assertThat(app.requests()).hasSize(2);
        }
    }

    @Test
    void endpointRefusalIsReportedAsNotRun() throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            out.write(Http.toBytes("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"));
                            out.write(Http.toBytes("Content-Length: 0\r\n\r\n"));
                            return true;
                        })) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");

            String response = system.sendRaw(Http.request("POST", "/once/x", "key-1", ""));

            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response).containsMatch("(?i)retry-after: 0\\.\\d+");
            assertThat(app.requests()).hasSize(1);
        }
    }

    @Test
    void clientCannotForgeReservedHeaders() throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> respondOk(request, out, "fine"))) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String forged =
                    Http.request("POST", "/once/x?q=1", "key-1", "abc")
                            .replace(
                                    "\r\n\r\n",
                                    "\r\nx-tenant: other\r\nX-HOLD: h\r\nKv-from: a/b\r\n"
                                            + "X-Kv-Backup: a\r\nx-pin-ms: 9\r\nTE: x\r\n\r\n");

            system.sendRaw(forged);

            ScriptedEndpoint.ReceivedRequest received = app.requests().get(0);
            assertThat(received.head()).startsWith("POST /once/x?q=1 HTTP/1.1\r\n");
            assertThat(received.body()).isEqualTo("abc");
            assertThat(received.header("X-Tenant")).isEqualTo("acme");
            assertThat(received.header("X-Expect-Replica")).isEqualTo("app");
            assertThat(received.header("Authorization")).isNull();
            assertThat(received.header("X-Hold")).isNull();
            assertThat(received.header("X-Pin-Ms")).isNull();
            assertThat(received.header("Kv-From")).isNull();
            assertThat(received.header("X-Kv-Backup")).isNull();
            assertThat(Long.parseLong(received.header("X-Request-Deadline-Ms"))).isAtMost(2_000);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3\r\nContent-Length: 4",
                "Content-Length: 3\r\nTransfer-Encoding: chunked",
                "Content-Length : 3",
                "Content-Length: +3",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
            })
    void requestWithAmbiguousFramingReachesNoEndpoint(String framing) throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> respondOk(request, out, "fine"))) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String ambiguousRequest =
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
                            + "Authorization: Bearer key-1\r\nConnection: close\r\n"
                            + framing
                            + "\r\n\r\n0\r\n\r\nGET /safe/evil HTTP/1.1\r\n\r\n";

            String response = system.sendRaw(ambiguousRequest);

            assertThat(response).startsWith("HTTP/1.1 400");
            assertThat(app.requests()).isEmpty();
        }
    }

    @Test
    void requestBeyondTheBodyMemoryLimitIsNotRun() throws Exception {
        CountDownLatch heldRequests = new CountDownLatch(4);
        CountDownLatch requestRefused = new CountDownLatch(1);
        try (ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    heldRequests.countDown();
                                    await(requestRefused);
                                    return respondOk(request, out, "fine");
                                });
                ScriptedEndpoint freeEndpoint =
                        new ScriptedEndpoint(
                                (number, request, out) -> respondOk(request, out, "fine"))) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String body = "x".repeat(4 << 20);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Thread client = new Thread(() -> sendCall(body), "client");
                client.start();
                clients.add(client);
            }
            await(heldRequests);
            system.register("free", "app", freeEndpoint.address(), "a");
            system.callRegistry("GET", "/api/config", "");
            TimeUnit.MILLISECONDS.sleep(500);

            String response = system.sendRaw(Http.request("POST", "/once/x", "key-1", "one more"));

            requestRefused.countDown();
            for (Thread client : clients) {
                client.join();
            }
            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response).containsMatch("(?i)retry-after: 0\\.3");
            assertThat(app.requests()).hasSize(4);
            assertThat(freeEndpoint.requests()).isEmpty();
        }
    }

    private void sendCall(String body) {
        try {
            system.sendRaw(
                    Http.request("POST", "/once/x", "key-1", body)
                            .replace("Deadline-Ms: 2000", "Deadline-Ms: 60000"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until the endpoint has read a request, which an edge may have given up meanwhile. */
    private static void awaitArrival(ScriptedEndpoint endpoint) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(ARRIVAL_SECONDS);
        while (endpoint.requests().isEmpty() && System.nanoTime() < deadlineNanos) {
            Http.sleep(10);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(60, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @CsvSource({"20000, 0, 431", "10, 5000000, 413"})
    void oversizedRequestReachesNoEndpoint(int headerBytes, int bodyBytes, int expected)
            throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> respondOk(request, out, "fine"))) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String oversizedRequest =
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
                            + "Authorization: Bearer key-1\r\nConnection: close\r\nX-Long: "
                            + "x".repeat(headerBytes)
                            + "\r\nContent-Length: %d\r\n\r\n".formatted(bodyBytes);

            assertThat(system.sendRaw(oversizedRequest)).startsWith("HTTP/1.1 " + expected);
            assertThat(app.requests()).isEmpty();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "/once/x, wrong, 401",
        "/once/x, '', 401",
        "/none/x, key-1, 404",
        "/once, key-1, 404",
    })
    void requestNotAllowedByTheConfigurationIsRefused(String path, String key, int expected)
            throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> respondOk(request, out, "fine"))) {
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");

            assertThat(system.sendRaw(Http.request("POST", path, key, "")))
                    .startsWith("HTTP/1.1 " + expected);
            assertThat(app.requests()).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void streamResumesOnAnotherEndpointAfterFailure(int eventsBeforeFailure) throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                (number, request, out) ->
                                        writeStream(request, out, 1, eventsBeforeFailure, true));
                ScriptedEndpoint second =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    String last = request.header("Last-Event-Id");
                                    int from = last == null ? 1 : Integer.parseInt(last) + 1;
                                    return writeStream(request, out, from, 6, false);
                                })) {
            system.register("e1", "llm", first.address(), "a");
            system.register("e2", "llm", second.address(), "b");
            system.awaitReady("app");

            String response = system.sendRaw(Http.request("POST", "/gen/x", "key-1", "p"));

            StringBuilder expected = new StringBuilder();
            for (int i = 1; i <= 6; i++) {
                expected.append("id: ").append(i).append("\ndata: t").append(i).append("\n\n");
            }
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(decodeChunks(response)).isEqualTo(expected.toString());
            ScriptedEndpoint.ReceivedRequest resumed = second.requests().get(0);
            if (!first.requests().isEmpty()) {
                assertThat(resumed.header("Last-Event-Id"))
                        .isEqualTo(Integer.toString(eventsBeforeFailure));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"0, false", "3, true"})
    void copyIsUsedOnlyIfTheLostRunHadStarted(int eventsBeforeFailure, boolean expected)
            throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                (number, request, out) ->
                                        breakOffLate(request, out, eventsBeforeFailure));
                ScriptedEndpoint second =
                        new ScriptedEndpoint(
                                (number, request, out) ->
                                        writeStream(
                                                request, out, eventsBeforeFailure + 1, 6, false))) {
            system.register("e1", "llm", first.address(), "a");
            system.register("e2", "llm", second.address(), "b");
            system.awaitReady("app");

            String response = "";
            for (int i = 0; i < 20 && first.requests().isEmpty(); i++) {
                response = system.sendRaw(Http.request("POST", "/gen/x", "key-1", "p"));
            }

            assertThat(decodeChunks(response)).endsWith("id: 6\ndata: t6\n\n");
            ScriptedEndpoint.ReceivedRequest resumed =
                    second.requests().get(second.requests().size() - 1);
            assertThat(resumed.header("Kv-From") != null).isEqualTo(expected);
        }
    }

    /** Breaks off after {@code events} events and a delay in which the run can be copied. */
    private static boolean breakOffLate(
            ScriptedEndpoint.ReceivedRequest request, OutputStream out, int events)
            throws IOException {
        boolean keepsConnection = events > 0 && writeStream(request, out, 1, events, true);
        Http.sleep(400);
        return keepsConnection;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 4})
    void engineRefusalsDoNotCountAsAttempts(int refusals) throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                (number, request, out) ->
                                        number == 1
                                                ? writeStream(request, out, 1, 2, true)
                                                : writeRefusal(out));
                ScriptedEndpoint second =
                        new ScriptedEndpoint(
                                (number, request, out) ->
                                        number <= refusals
                                                ? writeRefusal(out)
                                                : writeStream(request, out, 3, 4, false))) {
            system.register("e1", "llm", first.address(), "a");
            system.awaitReady("app");
            Thread registration = new Thread(() -> registerLate(second), "late");
            registration.start();

            String request = Http.request("POST", "/gen/x", "key-1", "p");
            String response =
                    system.sendRaw(request.replace("Deadline-Ms: 2000", "Deadline-Ms: 60000"));

            registration.join();
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(decodeChunks(response)).endsWith("id: 4\ndata: t4\n\n");
        }
    }

    /** Guards against a client that is told its stream does not run while an engine runs it. */
    @ParameterizedTest
    @ValueSource(ints = {300, 600})
    void streamThatMayRunAtItsDeadlineIsNotReportedAsNotRun(int deadlineMillis) throws Exception {
        CountDownLatch responded = new CountDownLatch(1);
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            await(responded);
                            return false;
                        })) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");
            String request = Http.request("POST", "/gen/x", "key-1", "p");

            String response =
                    system.sendRaw(
                            request.replace("Deadline-Ms: 2000", "Deadline-Ms: " + deadlineMillis));

            responded.countDown();
            assertThat(response).startsWith("HTTP/1.1 504");
            awaitArrival(engine);
            assertThat(engine.requests()).hasSize(1);
        }
    }

    /** Guards against an interim response that is taken for the end of the response. */
    @ParameterizedTest
    @CsvSource({"/once/x, 1", "/safe/x, 1", "/gen/x, 1", "/once/x, 3", "/safe/x, 3", "/gen/x, 3"})
    void interimResponseIsNotTheAnswer(String path, int count) throws Exception {
        boolean isStream = path.startsWith("/gen");
        try (ScriptedEndpoint endpoint =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            out.write(Http.toBytes("HTTP/1.1 102 X\r\n\r\n".repeat(count)));
                            return isStream
                                    ? writeStream(request, out, 1, 2, false)
                                    : respondOk(request, out, "fine");
                        })) {
            system.register("e1", isStream ? "llm" : "app", endpoint.address(), "a");
            system.awaitReady(isStream ? "app" : "llm");

            assertThat(system.sendRaw(Http.request("POST", path, "key-1", "p")))
                    .startsWith("HTTP/1.1 200");
            assertThat(endpoint.requests()).hasSize(1);
        }
    }

    private static boolean writeRefusal(OutputStream out) throws IOException {
        out.write(Http.toBytes("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
        return true;
    }

    private void registerLate(ScriptedEndpoint second) {
        try {
            system.register("e2", "llm", second.address(), "b");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void acknowledgedConfigurationIsReadBack() throws Exception {
        system.configure(CONFIGURATION.formatted(9));

        assertThat(system.callRegistry("GET", "/api/config", "").body()).contains("\"version\":9");
        assertThat(
                        system.callRegistry("PUT", "/api/config", CONFIGURATION.formatted(8))
                                .statusCode())
                .isEqualTo(200);
        assertThat(system.callRegistry("GET", "/api/config", "").body()).contains("\"version\":9");
        assertThat(system.callRegistry("PUT", "/api/config", "{\"version\":10").statusCode())
                .isEqualTo(400);
        assertThat(system.callRegistry("GET", "/api/config", "").body()).contains("\"version\":9");
    }

    /**
     * Guards the shared prompt parts, from which crashes are told apart, and the request itself.
     */
    @ParameterizedTest
    @CsvSource({
        "'', '', 0",
        "'a:10', a, 0",
        "'s:200,a:10', a, 1",
        "'s:200 , t:9,a:10', a, 2",
        "'s:200,s:200,a:10', a, 1",
        "'s,:5,,a', a, 1",
        "'s:x:y,a:z', a, 1",
        "',', '', 0",
    })
    void malformedPromptPartsDoNotFailTheRequest(String parts, String own, int shared) {
        HttpHeaders headers =
                new DefaultHttpHeaders().add("X-Request-Id", "r1").add("X-Prompt-Prefix", parts);

        Result<CallMetadata> read = new PlatformTrafficProtocol().readMetadata(headers);

        CallMetadata metadata = ((Result.Ok<CallMetadata>) read).value();
        assertThat(metadata.prompt()).isEqualTo(PromptId.ofNullable(own));
        assertThat(metadata.sharedParts()).hasSize(shared);
    }

    @Test
    void sharedPromptPartsAreBounded() {
        String parts = "p%d,".repeat(50).formatted((Object[]) numbers(50)) + "x".repeat(65) + ",a";
        HttpHeaders headers =
                new DefaultHttpHeaders().add("X-Request-Id", "r1").add("X-Prompt-Prefix", parts);

        Result<CallMetadata> read = new PlatformTrafficProtocol().readMetadata(headers);

        assertThat(((Result.Ok<CallMetadata>) read).value().sharedParts()).hasSize(32);
    }

    private static Integer[] numbers(int count) {
        return IntStream.range(0, count).boxed().toArray(Integer[]::new);
    }

    private static boolean respondOk(
            ScriptedEndpoint.ReceivedRequest request, OutputStream out, String body)
            throws IOException {
        out.write(ScriptedEndpoint.signedResponse(request, 200, "", body));
        return true;
    }

    private static boolean writeInvalidResponse(
            Fault fault, ScriptedEndpoint.ReceivedRequest request, OutputStream out)
            throws IOException {
        String validResponse =
                new String(
                        ScriptedEndpoint.signedResponse(request, 200, "", "bad"),
                        StandardCharsets.US_ASCII);
        switch (fault) {
            case UNSIGNED ->
                    out.write(
                            Http.toBytes(validResponse.replace("X-Replica-Signature: s\r\n", "")));
            case CUT_SHORT ->
                    out.write(
                            Http.toBytes(
                                    validResponse.replace(
                                            "Content-Length: 3", "Content-Length: 9")));
            case NO_HTTP -> out.write(Http.toBytes("\u0001\u0002 nothing of use\r\n\r\n"));
            case OTHER_ID ->
                    out.write(
                            Http.toBytes(
                                    validResponse.replace("X-Request-Id: r1", "X-Request-Id: r0")));
            default -> {}
        }
        return false;
    }

    private static boolean writeStream(
            ScriptedEndpoint.ReceivedRequest request,
            OutputStream out,
            int from,
            int to,
            boolean breakOff)
            throws IOException {
        Http.writeStreamHead(request, out);
        for (int i = from; i <= to; i++) {
            Http.writeEvent(out, i);
        }
        if (breakOff) {
            Http.writeChunk(out, "id: %d\nda".formatted(to + 1));
            return false;
        }
        Http.writeLastChunk(out);
        return true;
    }

    private static String decodeChunks(String response) {
        String body = response.substring(response.indexOf("\r\n\r\n") + 4);
        StringBuilder decoded = new StringBuilder();
        int position = 0;
        while (position < body.length()) {
            int end = body.indexOf("\r\n", position);
            int length = Integer.parseInt(body.substring(position, end), 16);
            decoded.append(body, end + 2, end + 2 + length);
            position = end + 2 + length + 2;
        }
        return decoded.toString();
    }
}
