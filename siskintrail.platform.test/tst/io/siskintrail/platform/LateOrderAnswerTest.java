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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Second answers to orders of copies of one stream, on the connection of the next order. */
@Timeout(60)
class LateOrderAnswerTest {
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

    @TempDir Path folder;
    private final Map<String, ScriptedEndpoint> engines = new LinkedHashMap<>();
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch copiedTo4 = new CountDownLatch(2);
    private final List<String> copyTargets = new CopyOnWriteArrayList<>();
    private final List<String> resumptions = new CopyOnWriteArrayList<>();
    private volatile ReceivedRequest stream;
    private final Map<OutputStream, String> late = new ConcurrentHashMap<>();

    /** Guards against the handle of a copy at an engine that is lost, for another engine. */
    @Test
    void lateAnswerNamesNoCopyAtAnotherEngine() throws Exception {
        try (LoopbackSystem system = new LoopbackSystem(folder)) {
            system.configure(CONFIGURATION);
            for (String id : List.of("e1", "e2", "e3", "e4")) {
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
            system.callRegistry(
                    "DELETE", "/api/replicas/" + idOf(stream.header("X-Kv-Backup")), "");
            while (copyTargets.isEmpty()) {
                Http.sleep(10);
            }
            String firstTarget = copyTargets.get(0);
            Http.sleep(300);
            system.callRegistry("DELETE", "/api/replicas/" + idOf(firstTarget), "");
            while (copyTargets.stream().allMatch(firstTarget::equals)) {
                Http.sleep(10);
            }
            Http.sleep(300);
            copiedTo4.countDown();
            copiedTo4.countDown();
            String received = response.get();

            assertThat(received).endsWith("0\r\n\r\n");
            String wanted = "handle-" + copyTargets.get(copyTargets.size() - 1).replace(":", "-");
            assertThat(resumptions).isNotEmpty();
            assertThat(resumptions.get(0)).endsWith(wanted);
        }
    }

    private boolean answer(ReceivedRequest request, OutputStream out) throws IOException {
        if (request.head().startsWith("POST /gen/")) {
            return writeStream(request, out);
        }
        if (!request.head().startsWith("POST ")) {
            out.write(Http.toBytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        String to = request.body().replaceAll(".*\"to\":\"([^\"]*)\".*", "$1");
        String body = "{\"handle\":\"handle-%s\"}".formatted(to.replace(":", "-"));
        String answer =
                "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s".formatted(body.length(), body);
        out.write(Http.toBytes(late.getOrDefault(out, "") + answer));
        late.put(out, answer);
        copyTargets.add(to);
        return true;
    }

    private synchronized boolean isFirst(ReceivedRequest request) {
        if (stream == null) {
            stream = request;
            return true;
        }
        return false;
    }

    private boolean writeStream(ReceivedRequest request, OutputStream out) throws IOException {
        boolean first = isFirst(request);
        if (!first) {
            resumptions.add(String.valueOf(request.header("Kv-From")));
        }
        Http.writeStreamHead(request, out);
        int id = first ? 1 : Integer.parseInt(request.header("Last-Event-Id")) + 1;
        while (first && copiedTo4.getCount() > 0) {
            Http.writeEvent(out, id);
            id++;
            started.countDown();
            Http.sleep(100);
        }
        if (first) {
            return false;
        }
        Http.writeEvent(out, id);
        Http.writeLastChunk(out);
        return true;
    }

    private String idOf(String address) {
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
