package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests whose only common part is one of their prompt, and which crash every engine. */
class SharedPartCrashTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":20000,"targetLatencyMs":8000,"priority":1,"service":"app",
              "maxAttempts":3},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":20000,"targetLatencyMs":8000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"backups":false,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    /** Time in which edges may come to know what crashes engines. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final int COUNTED_CRASHES = 5;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final int ENGINES = 16;
    private static final int ROUNDS = 16;
    private static final long ROUND_MILLIS = 500;

    private final ExecutorService clients = Executors.newCachedThreadPool();
    private LoopbackSystem system;
    private LoopbackEdge secondEdge;

    @TempDir Path folder;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION);
        secondEdge = system.startEdge("edge-2");
    }

    @AfterEach
    void stop() {
        clients.shutdownNow();
        secondEdge.close();
        system.close();
    }

    /** Guards against refusing whole contents only, when the part that crashes comes with all. */
    @ParameterizedTest
    @ValueSource(strings = {"common:200,crash:50", "crash:250"})
    void requestsThatShareACrashingPartSoonReachNoEngine(String sharedParts) throws Exception {
        List<Future<String>> sound = new ArrayList<>();
        List<Future<String>> crashing = new ArrayList<>();
        try (CrashingFleet fleet = new CrashingFleet(system, "crash:", "llm", ENGINES)) {
            system.awaitReady("app");
            secondEdge.awaitReady();

            for (int i = 0; i < ROUNDS; i++) {
                for (int edge = 0; edge < 2; edge++) {
                    String own = "own-%d-%d".formatted(i, edge);
                    sound.add(send(edge, "common:200,%s:300".formatted(own), own));
                }
                String parts = "%s,bad-%d:300".formatted(sharedParts, i);
                crashing.add(send(i, parts, "bad " + i));
                TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS);
            }

            assertThat(fleet.crashes().size()).isAtLeast(COUNTED_CRASHES);
            long graceEnd =
                    fleet.crashes().get(COUNTED_CRASHES - 1)
                            + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
            assertWithMessage(
                            "late arrivals; crashes %s, arrivals %s",
                            fleet.crashes().size(), fleet.arrivals().size())
                    .that(fleet.arrivalsAfter(graceEnd))
                    .isAtMost(MAX_LATE_ARRIVALS);
            for (Future<String> response : sound) {
                assertThat(response.get()).startsWith("HTTP/1.1 200");
                assertThat(response.get()).contains("id: 6");
            }
            for (int i = 0; i < ROUNDS; i++) {
                boolean notRun = crashing.get(i).get().contains("\r\n\r\n7007 ");
                assertThat(notRun).isEqualTo(!fleet.hasReceived("bad " + i));
            }
            assertThat(crashing.get(ROUNDS - 1).get()).contains("\r\n\r\n7007 ");
        }
    }

    /** Guards calls, which are hedged and repeated: a refused one reaches no further endpoint. */
    @Test
    void callsThatShareACrashingPartSoonReachNoEndpoint() throws Exception {
        try (CrashingFleet fleet = new CrashingFleet(system, "crash:", "app", ENGINES)) {
            system.awaitReady("llm");
            secondEdge.awaitReady();
            List<Future<String>> crashing = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                int edge = i;
                String request =
                        request("common:200,crash:50,bad-%d:300".formatted(i), "bad " + i)
                                .replace("/gen/", "/safe/");
                crashing.add(clients.submit(() -> sendTo(edge, request)));
                TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS);
            }

            long graceEnd =
                    fleet.crashes().get(COUNTED_CRASHES - 1)
                            + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
            assertThat(fleet.arrivalsAfter(graceEnd)).isAtMost(MAX_LATE_ARRIVALS);
            for (int i = 0; i < ROUNDS; i++) {
                boolean notRun = crashing.get(i).get().contains("\r\n\r\n7007 ");
                assertThat(notRun).isEqualTo(!fleet.hasReceived("bad " + i));
            }
            assertThat(crashing.get(ROUNDS - 1).get()).contains("\r\n\r\n7007 ");
        }
    }

    enum Restart {
        EDGE,
        REGISTRY_AND_EDGE
    }

    /** Guards against hosts that crash engines anew after a restart. */
    @ParameterizedTest
    @EnumSource(Restart.class)
    void edgeThatStartsLaterRefusesTheFirstSuchRequest(Restart restart) throws Exception {
        try (CrashingFleet fleet = new CrashingFleet(system, "crash:", "llm", ENGINES)) {
            system.awaitReady("app");
            secondEdge.awaitReady();
            crashUntilRefused();
            int arrivals = fleet.arrivals().size();

            if (restart == Restart.REGISTRY_AND_EDGE) {
                restartRegistry();
            }
            try (LoopbackEdge thirdEdge = system.startEdge("edge-3")) {
                thirdEdge.awaitReady();
                String refused = thirdEdge.sendRaw(request("crash:9,own-x:9", "bad third"));
                String sound = thirdEdge.sendRaw(request("common:9,own-y:9", "ok third"));

                assertThat(refused).contains("\r\n\r\n7007 ");
                assertThat(sound).startsWith("HTTP/1.1 200");
            }
            assertThat(fleet.arrivals()).hasSize(arrivals);
        }
    }

    /** Restarts the registry and waits until both edges follow it again. */
    private void restartRegistry() throws InterruptedException {
        try (LogLines log = new LogLines("io.siskintrail.registry")) {
            system.restartRegistry();
            assertThat(log.await("event=edge.connected")).isNotNull();
            assertThat(log.await("event=edge.connected")).isNotNull();
        }
    }

    private void crashUntilRefused() throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            String response = sendTo(i, request("crash:9,own-%d:9".formatted(i), "bad " + i));
            if (response.contains("\r\n\r\n7007 ")) {
                return;
            }
        }
        throw new AssertionError("requests that crash engines are not refused");
    }

    private Future<String> send(int edge, String parts, String body) {
        return clients.submit(() -> sendTo(edge, request(parts, body)));
    }

    private static String request(String parts, String body) {
        return Http.request("POST", "/gen/x", "key-1", body)
                .replace("Deadline-Ms: 2000", "Deadline-Ms: 20000")
                .replace("\r\n\r\n", "\r\nX-Prompt-Prefix: " + parts + "\r\n\r\n");
    }

    private String sendTo(int edge, String request) throws IOException {
        return edge % 2 == 0 ? system.sendRaw(request) : secondEdge.sendRaw(request);
    }
}
