package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Streams that wait at two edges for the only slot of one engine. */
@Timeout(60)
class SharedOrderTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"urgent","host":"h.example","pathPrefix":"/urgent/","kind":"streaming",
              "timeoutMs":25000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":700},
             {"name":"bulk","host":"h.example","pathPrefix":"/bulk/","kind":"streaming",
              "timeoutMs":25000,"targetLatencyMs":10000,"priority":2,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":700}],
             "services":[{"name":"llm","engine":{"slots":1,"kvCapacityTokens":88000,
              "stride":6,"backups":false,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final int EVENTS = 15;
    private static final long EVENT_MILLIS = 100;

    /** Time in which a report of waiting requests arrives at the other edge. */
    private static final long REPORT_MILLIS = 400;

    @TempDir Path folder;
    private LoopbackSystem system;
    private LoopbackEdge first;
    private LoopbackEdge second;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION);
        first = system.startEdge("edge-2", 2);
        second = system.startEdge("edge-3", 2);
    }

    @AfterEach
    void stop() {
        first.close();
        second.close();
        system.close();
    }

    /** Guards against a stream that takes the place of a more urgent one at another edge. */
    @Test
    void urgentStreamOfAnotherEdgeGoesFirst() throws Exception {
        try (ScriptedEndpoint engine = engine(EVENTS)) {
            register(engine);

            CompletableFuture<String> running = send(first, "/bulk/running");
            TimeUnit.MILLISECONDS.sleep(REPORT_MILLIS);
            CompletableFuture<String> bulk = send(first, "/bulk/waiting");
            CompletableFuture<String> urgent = send(second, "/urgent/waiting");

            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(bulk.get()).startsWith("HTTP/1.1 200");
            assertThat(urgent.get()).startsWith("HTTP/1.1 200");
            assertThat(engine.requests().stream().map(SharedOrderTest::path).toList())
                    .isEqualTo(List.of("/bulk/running", "/urgent/waiting", "/bulk/waiting"));
        }
    }

    /** Guards against a stream that waits until its deadline without a start. */
    @Test
    void streamThatCannotStartInTimeIsNotRun() throws Exception {
        try (ScriptedEndpoint engine = engine(5 * EVENTS)) {
            register(engine);

            CompletableFuture<String> running = send(first, "/bulk/running");
            TimeUnit.MILLISECONDS.sleep(REPORT_MILLIS);
            String refused = send(second, "/urgent/waiting").get();

            assertThat(refused).startsWith("HTTP/1.1 503");
            assertThat(refused).contains("6002");
            assertThat(refused.toLowerCase(Locale.ROOT)).contains("retry-after:");
            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(engine.requests()).hasSize(1);
        }
    }

    /** Guards against a stream that lost its engine and waits behind new streams of other edges. */
    @Test
    void streamThatLostItsEngineGoesBeforeNewOnes() throws Exception {
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) -> writeStream(request, out, number == 1))) {
            register(engine);

            CompletableFuture<String> cut = send(first, "/bulk/cut");
            TimeUnit.MILLISECONDS.sleep(REPORT_MILLIS);
            CompletableFuture<String> waiting = send(second, "/bulk/waiting");

            assertThat(cut.get()).contains("data: t%d\n".formatted(EVENTS));
            assertThat(waiting.get()).contains("data: t%d\n".formatted(EVENTS));
            assertThat(engine.requests().stream().map(SharedOrderTest::path).toList())
                    .isEqualTo(List.of("/bulk/cut", "/bulk/cut", "/bulk/waiting"));
        }
    }

    /** Guards against an edge that waits for reports which cannot arrive. */
    @Test
    void edgeWithoutRegistriesDecidesAlone() throws Exception {
        try (ScriptedEndpoint engine = engine(EVENTS)) {
            register(engine);
            CompletableFuture<String> running = send(first, "/bulk/running");
            TimeUnit.MILLISECONDS.sleep(REPORT_MILLIS);
            system.closeRegistry();
            CompletableFuture<String> bulk = send(first, "/bulk/waiting");
            CompletableFuture<String> urgent = send(first, "/urgent/waiting");

            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(bulk.get()).startsWith("HTTP/1.1 200");
            assertThat(urgent.get()).startsWith("HTTP/1.1 200");
            assertThat(path(engine.requests().get(1))).isEqualTo("/urgent/waiting");
        }
    }

    private void register(ScriptedEndpoint engine) throws Exception {
        system.register("e1", "llm", engine.address(), "a");
        first.awaitReady();
        second.awaitReady();
    }

    private static ScriptedEndpoint engine(int events) throws IOException {
        return new ScriptedEndpoint(
                (number, request, out) -> {
                    writeEvents(request, out, 1, events);
                    Http.writeLastChunk(out);
                    return true;
                });
    }

    /** Writes the events behind the last one of the client; closes the connection early if cut. */
    private static boolean writeStream(ReceivedRequest request, OutputStream out, boolean isCut)
            throws IOException {
        String last = request.header("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        writeEvents(request, out, from, isCut ? EVENTS / 2 : EVENTS);
        if (!isCut) {
            Http.writeLastChunk(out);
        }
        return !isCut;
    }

    private static void writeEvents(ReceivedRequest request, OutputStream out, int from, int to)
            throws IOException {
        Http.writeStreamHead(request, out);
        for (int id = from; id <= to; id++) {
            Http.writeEvent(out, id);
            Http.sleep(EVENT_MILLIS);
        }
    }

    private static String path(ReceivedRequest request) {
        return request.head().split(" ")[1];
    }

    private static CompletableFuture<String> send(LoopbackEdge edge, String path) {
        String request =
                Http.request("POST", path, "key-1", "p")
                        .replace("Deadline-Ms: 2000", "Deadline-Ms: 25000")
                        .replace("Request-Id: r1", "Request-Id: " + path.substring(1));
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return edge.sendRaw(request);
                    } catch (IOException e) {
                        return "no response: " + e;
                    }
                });
    }
}
