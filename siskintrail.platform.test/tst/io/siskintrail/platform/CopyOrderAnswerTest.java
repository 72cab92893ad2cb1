package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Second answers to an order of a copy, on whose connection a request of a client follows. */
@Timeout(60)
class CopyOrderAnswerTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":30000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":1,"resumable":true,"targetGapMs":5000}],
             "services":[{"name":"llm","engine":{"slots":9,"kvCapacityTokens":88000,
              "stride":6,"backups":true,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final int ROUNDS = 4;
    private static final long EVENT_INTERVAL_MILLIS = 50;

    @TempDir Path folder;
    private final CountDownLatch started = new CountDownLatch(1);
    private final Semaphore ordered = new Semaphore(0);
    private volatile String second;
    private volatile ReceivedRequest stream;
    private volatile boolean over;

    /** Guards against an answer to an order as a part of that to a stream. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Type: application/json",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            })
    void secondAnswerToAnOrderIsNoAnswerToAStream(String secondAnswer) throws Exception {
        second = secondAnswer;
        Map<String, ScriptedEndpoint> engines = new LinkedHashMap<>();
        try (LoopbackSystem system = new LoopbackSystem(folder)) {
            system.configure(CONFIGURATION);
            for (String id : List.of("e1", "e2", "e3")) {
                engines.put(id, new ScriptedEndpoint((n, request, out) -> answer(request, out)));
                system.register(id, "llm", engines.get(id).address(), "domain-" + id);
            }
            while (system.readinessStatus() != 200) {
                Http.sleep(10);
            }
            var running = CompletableFuture.supplyAsync(() -> send(system, "/gen/x", "r0"));
            started.await();
            system.callRegistry("DELETE", "/api/replicas/" + idOfCopyHolder(engines), "");
            for (int round = 0; round < ROUNDS; round++) {
                assertThat(ordered.tryAcquire(10, TimeUnit.SECONDS)).isTrue();
                Http.sleep(3 * AnswerBench.READ_MILLIS);
                for (int i = 0; i < 3; i++) {
                    String response = send(system, "/gen/next", "n-" + round + "-" + i);
                    assertWithMessage(response).that(response).doesNotContain("HTTP/1.1 200");
                }
            }
            over = true;
            assertThat(running.get()).endsWith("0\r\n\r\n");
        } finally {
            over = true;
            for (ScriptedEndpoint engine : engines.values()) {
                engine.close();
            }
        }
    }

    private boolean answer(ReceivedRequest request, OutputStream out) throws IOException {
        if (request.head().startsWith("POST /gen/x")) {
            return writeStreamUntilOver(request, out);
        }
        if (request.head().startsWith("POST /gen/")) {
            out.write(
                    ScriptedEndpoint.signedResponse(request, 500, "", "id: 1\ndata: failure\n\n"));
            return true;
        }
        String body = "{\"handle\":\"h1\"}";
        String head = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n".formatted(body.length());
        out.write(Http.toBytes(head + body));
        if (request.head().startsWith("POST ")) {
            out.flush();
            Http.sleep(AnswerBench.READ_MILLIS);
            out.write(Http.toBytes(second));
            ordered.release();
        }
        return true;
    }

    private boolean writeStreamUntilOver(ReceivedRequest request, OutputStream out)
            throws IOException {
        stream = request;
        Http.writeStreamHead(request, out);
        for (int id = 1; !over; id++) {
            Http.writeEvent(out, id);
            started.countDown();
            Http.sleep(EVENT_INTERVAL_MILLIS);
        }
        Http.writeLastChunk(out);
        return true;
    }

    private String idOfCopyHolder(Map<String, ScriptedEndpoint> engines) {
        String address = stream.header("X-Kv-Backup");
        return engines.entrySet().stream()
                .filter(e -> e.getValue().address().equals(address))
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static String send(LoopbackSystem system, String path, String id) {
        String request = Http.request("POST", path, "key-1", "p");
        try {
            return system.sendRaw(
                    request.replace("Ms: 2000", "Ms: 30000").replace("Id: r1", "Id: " + id));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
