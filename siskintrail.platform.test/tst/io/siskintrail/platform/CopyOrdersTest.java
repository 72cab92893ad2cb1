package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Orders to copy the KV cache of a running stream, which an edge repeats until the stream ends. */
@Timeout(60)
class CopyOrdersTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":30000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":3,"resumable":true,"targetGapMs":5000}],
             "services":[{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"backups":true,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final int ORDERS = 3;
    private static final long EVENT_INTERVAL_MILLIS = 100;

    @TempDir Path folder;
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch ordered = new CountDownLatch(ORDERS);
    private final List<OutputStream> orderConnections = new CopyOnWriteArrayList<>();
    private volatile ReceivedRequest stream;

    /** Guards against a new connection to a busy engine for each repeated order. */
    @Test
    void repeatedOrdersOfCopiesUseOneConnection() throws Exception {
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
            String request = Http.request("POST", "/gen/x", "key-1", "p");
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(
                            () -> send(system, request.replace("Ms: 2000", "Ms: 30000")));
            started.await();

            system.callRegistry("DELETE", "/api/replicas/" + idOfCopyHolder(engines), "");

            assertThat(ordered.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(response.get()).endsWith("0\r\n\r\n");
            assertThat(orderConnections.stream().distinct().count()).isEqualTo(1);
        } finally {
            for (ScriptedEndpoint engine : engines.values()) {
                engine.close();
            }
        }
    }

    private boolean answer(ReceivedRequest request, OutputStream out) throws IOException {
        if (request.head().startsWith("POST /gen/")) {
            return writeStreamUntilOrdered(request, out);
        }
        if (request.head().startsWith("POST ")) {
            orderConnections.add(out);
            ordered.countDown();
        }
        String body = "{\"handle\":\"h1\"}";
        out.write(
                Http.toBytes(
                        "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(body.length(), body)));
        return true;
    }

    private boolean writeStreamUntilOrdered(ReceivedRequest request, OutputStream out)
            throws IOException {
        stream = request;
        Http.writeStreamHead(request, out);
        for (int id = 1; ordered.getCount() > 0; id++) {
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

    private static String send(LoopbackSystem system, String request) {
        try {
            return system.sendRaw(request);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
