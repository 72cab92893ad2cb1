package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Engines that fall silent, take no new connections or leave, and finish their streams all the
 * same.
 */
@Timeout(120)
class PausedEngineTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"streaming",
              "timeoutMs":25000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":false,"targetGapMs":700},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":25000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":700},
             {"name":"single","host":"h.example","pathPrefix":"/single/","kind":"streaming",
              "timeoutMs":25000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":1,"resumable":true,"targetGapMs":700},
             {"name":"call","host":"h.example","pathPrefix":"/call/","kind":"unsafe",
              "timeoutMs":25000,"targetLatencyMs":500,"priority":1,"service":"app",
              "maxAttempts":1}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"backups":true,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final int EVENTS = 12;
    private static final int EVENTS_BEFORE_PAUSE = 4;
    private static final long EVENT_MILLIS = 40;

    /** Longer than the target of the route for a gap, and than its limit for a single stream. */
    private static final long PAUSE_MILLIS = 2_000;

    /** Longer than the time in which the first event of an unknown engine is expected. */
    private static final long LONG_PAUSE_MILLIS = 6_000;

    /** Time in which a stream goes on at another engine: the target of the route and some slack. */
    private static final long MAX_MOVE_MILLIS = 1_200;

    @TempDir Path folder;
    private final CountDownLatch paused = new CountDownLatch(1);
    private LoopbackSystem system;

    @AfterEach
    void stop() {
        system.close();
    }

    private void start(LoopbackSystem started) throws Exception {
        system = started;
        system.configure(CONFIGURATION);
    }

    /** Guards against a stream that cannot go on elsewhere and is cut when its engine pauses. */
    @ParameterizedTest
    @CsvSource({"/once/x, 0", "/once/x, 4", "/single/x, 0", "/single/x, 4", "/gen/x, 4"})
    void streamOfTheOnlyEngineOutlastsItsPause(String path, int eventsBeforePause)
            throws Exception {
        start(new LoopbackSystem(folder));
        long pauseMillis = eventsBeforePause == 0 ? LONG_PAUSE_MILLIS : PAUSE_MILLIS;
        try (ScriptedEndpoint engine = pausingEngine(eventsBeforePause, pauseMillis)) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");

            String response = send(path);

            checkComplete(response);
            assertThat(engine.requests()).hasSize(1);
        }
    }

    /** Guards against the same where other engines are free, but the route allows no move. */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/single/x"})
    void streamThatMayNotMoveOutlastsThePauseOfItsEngine(String path) throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint first = pausingEngine(EVENTS_BEFORE_PAUSE, PAUSE_MILLIS);
                ScriptedEndpoint second = pausingEngine(EVENTS_BEFORE_PAUSE, PAUSE_MILLIS)) {
            system.register("e1", "llm", first.address(), "a");
            system.register("e2", "llm", second.address(), "a");
            system.awaitReady("app");

            String response = send(path);

            checkComplete(response);
            assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
        }
    }

    /** Guards against a stream that is cut when it pauses while another one of its engine runs. */
    @Test
    void streamOutlastsAPauseOfItsOwn() throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            boolean pauses = "p".equals(request.body());
                            int events = pauses ? EVENTS : 4 * EVENTS;
                            long pause = pauses ? PAUSE_MILLIS : 0;
                            return writeStream(request, out, events, EVENTS_BEFORE_PAUSE, pause);
                        })) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");
            var steady =
                    sendAsync(Http.request("POST", "/once/x", "key-1", "q").replace("r1", "r2"));

            String response = send("/once/x");

            checkComplete(response);
            assertThat(steady.get()).endsWith("\r\n0\r\n\r\n");
        }
    }

    /** Guards against a stream that is cut since its engine takes no new connections. */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/single/x", "/gen/x"})
    void streamOutlastsThePauseOfAnEngineThatTakesNoConnections(String path) throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint engine = pausingEngine(EVENTS_BEFORE_PAUSE, PAUSE_MILLIS)) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");
            var response = sendAsync(Http.request("POST", path, "key-1", "p"));
            paused.await();

            engine.close();

            checkComplete(response.get());
        }
    }

    /** Guards against a stream that is cut since another request could not be connected. */
    @Test
    void streamOutlastsAFailedConnectionOfAnotherRequest() throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint engine = pausingEngine(EVENTS_BEFORE_PAUSE, PAUSE_MILLIS)) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");
            var response = sendAsync(Http.request("POST", "/once/x", "key-1", "p"));
            paused.await();
            engine.close();
            Http.sleep(180);

            String refused = system.sendRaw(Http.request("POST", "/once/x", "key-1", "other"));

            assertThat(refused).startsWith("HTTP/1.1 50");
            checkComplete(response.get());
        }
    }

    /** Guards against a stream that is cut since its engine leaves, while it goes on serving. */
    @ParameterizedTest
    @CsvSource({"/once/x, 0", "/once/x, 500", "/single/x, 0", "/single/x, 500", "/gen/x, 0"})
    void streamOfALeavingEngineIsComplete(String path, long pauseMillis) throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint engine = pausingEngine(EVENTS_BEFORE_PAUSE, pauseMillis)) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");
            var response = sendAsync(Http.request("POST", path, "key-1", "p"));
            paused.await();

            int status = system.callRegistry("DELETE", "/api/replicas/e1", "").statusCode();

            assertThat(status).isEqualTo(200);
            checkComplete(response.get());
            assertThat(engine.requests()).hasSize(1);
        }
    }

    /** Guards against a stream that leaves a pausing engine without a retry to go on elsewhere. */
    @Test
    void streamWithoutARetryOutlastsThePauseOfItsEngine() throws Exception {
        start(LoopbackSystem.withoutRetries(folder));
        try (ScriptedEndpoint first = pausingEngine(EVENTS_BEFORE_PAUSE, PAUSE_MILLIS);
                ScriptedEndpoint second = pausingEngine(EVENTS_BEFORE_PAUSE, PAUSE_MILLIS)) {
            system.register("e1", "llm", first.address(), "a");
            system.register("e2", "llm", second.address(), "a");
            system.awaitReady("app");

            checkComplete(send("/gen/x"));
        }
    }

    /** Guards against a call that is ended because its endpoint is silent or leaves. */
    @Test
    void callOfASilentEndpointThatLeavesIsAnswered() throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            paused.countDown();
                            Http.sleep(PAUSE_MILLIS);
                            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                            return true;
                        })) {
            system.register("a1", "app", app.address(), "a");
            system.awaitReady("llm");
            var response = sendAsync(Http.request("POST", "/call/x", "key-1", "p"));
            paused.await();

            system.callRegistry("DELETE", "/api/replicas/a1", "");
            app.close();

            assertThat(response.get()).endsWith("fine");
        }
    }

    /**
     * Guards against a pause that is waited for although another engine can go on: a stream leaves
     * a silent engine as early as before.
     */
    @Test
    void streamThatMayMoveLeavesASilentEngine() throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint silent = pausingEngine(EVENTS_BEFORE_PAUSE, 10 * PAUSE_MILLIS);
                ScriptedEndpoint other = pausingEngine(0, 0)) {
            system.register("e1", "llm", silent.address(), "a");
            system.awaitReady("app");
            var response = sendAsync(Http.request("POST", "/gen/x", "key-1", "p"));
            paused.await();
            long startNanos = System.nanoTime();

            system.register("e2", "llm", other.address(), "a");

            checkComplete(response.get());
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertThat(millis).isLessThan(MAX_MOVE_MILLIS);
            assertThat(other.requests().get(0).header("Last-Event-Id"))
                    .isEqualTo(Integer.toString(EVENTS_BEFORE_PAUSE));
        }
    }

    /**
     * Guards against a stream that stays for good on a connection that fell silent, where its only
     * engine takes new connections.
     */
    @Test
    void streamOfTheOnlyEngineGoesOnThroughANewConnection() throws Exception {
        start(new LoopbackSystem(folder));
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) ->
                                writeStream(
                                        request,
                                        out,
                                        EVENTS,
                                        EVENTS_BEFORE_PAUSE,
                                        number == 1 ? 10 * PAUSE_MILLIS : 0))) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");

            checkComplete(send("/gen/x"));
            assertThat(engine.requests()).hasSize(2);
        }
    }

    private ScriptedEndpoint pausingEngine(int eventsBeforePause, long pauseMillis)
            throws IOException {
        return new ScriptedEndpoint(
                (number, request, out) ->
                        writeStream(request, out, EVENTS, eventsBeforePause, pauseMillis));
    }

    /** Writes the events behind the last one of the client, with one pause. */
    private boolean writeStream(
            ReceivedRequest request,
            OutputStream out,
            int events,
            int eventsBeforePause,
            long pauseMillis)
            throws IOException {
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        if (eventsBeforePause == 0) {
            Http.sleep(pauseMillis);
        }
        Http.writeStreamHead(request, out);
        for (int id = first; id <= events; id++) {
            Http.writeEvent(out, id);
            if (id == eventsBeforePause) {
                paused.countDown();
                Http.sleep(pauseMillis);
            }
            Http.sleep(EVENT_MILLIS);
        }
        Http.writeLastChunk(out);
        return true;
    }

    private static void checkComplete(String response) {
        assertThat(response).startsWith("HTTP/1.1 200");
        for (int id = 1; id <= EVENTS; id++) {
            assertThat(response.split("data: t%d\n".formatted(id), -1)).hasLength(2);
        }
        assertThat(response).endsWith("\r\n0\r\n\r\n");
    }

    private String send(String path) throws IOException {
        return system.sendRaw(withLongDeadline(Http.request("POST", path, "key-1", "p")));
    }

    private CompletableFuture<String> sendAsync(String request) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return system.sendRaw(withLongDeadline(request));
                    } catch (IOException e) {
                        return "no response: " + e;
                    }
                });
    }

    private static String withLongDeadline(String request) {
        return request.replace("Deadline-Ms: 2000", "Deadline-Ms: 20000");
    }
}
