package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Readiness of an edge, configuration versions, and clients that disconnect. */
class EdgeClientsTest {
    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
             {"name":"%s","host":"h.example","pathPrefix":"/%s/","kind":"%s",
              "timeoutMs":60000,"targetLatencyMs":50000,"priority":1,"service":"app",
              "maxAttempts":1,"resumable":true,"targetGapMs":20000}],
             "services":[{"name":"app"}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private final CountDownLatch workStarted = new CountDownLatch(1);
    private final CountDownLatch workCancelled = new CountDownLatch(1);
    private LoopbackSystem system;

    @TempDir Path folder;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    @Test
    void edgeIsReadyOnlyWithConfigurationAndEndpoints() throws Exception {
        assertThat(system.readinessStatus()).isEqualTo(503);

        try (ScriptedEndpoint app = new ScriptedEndpoint((number, request, out) -> false)) {
            system.configure(formatConfiguration(1, "old", "safe"));
            system.register("app", "app", app.address(), "a");
            system.awaitReady("app");

            assertThat(system.readinessStatus()).isEqualTo(200);
        }
    }

    /** Guards against clients that are turned away while all hosts have only just started. */
    @Test
    void requestThatArrivesBeforeTheFirstConfigurationIsServed() throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> respondOk(request, out))) {
            system.register("app", "app", app.address(), "a");
            String request =
                    Http.request("POST", "/new/x", "key-1", "").replace("-Ms: 2000", "-Ms: 60000");
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(() -> sendUnchecked(request));
            TimeUnit.MILLISECONDS.sleep(100);
            system.configure(formatConfiguration(3, "new", "safe"));

            assertThat(response.get()).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void requestIsTurnedAwayWhenNoConfigurationComes() throws Exception {
        String response = system.sendRaw(Http.request("POST", "/new/x", "key-1", ""));

        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).containsMatch("(?i)retry-after: 0\\.5");
    }

    private String sendUnchecked(String request) {
        try {
            return system.sendRaw(request);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void edgeNeverRevertsToAnOlderConfiguration() throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> respondOk(request, out))) {
            system.configure(formatConfiguration(3, "old", "safe"));
            system.configure(formatConfiguration(5, "new", "safe"));
            system.register("app", "app", app.address(), "a");
            system.awaitReady("app");
            awaitStatus("/new/x", 200);

            system.configure(formatConfiguration(4, "old", "safe"));

            assertThat(system.sendRaw(Http.request("POST", "/new/x", "key-1", "")))
                    .contains(" 200 ");
            assertThat(system.sendRaw(Http.request("POST", "/old/x", "key-1", "")))
                    .contains(" 404 ");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"streaming", "unsafe", "safe"})
    void workIsCancelledWhenTheClientDisconnects(String kind) throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) -> writeUntilCancelled(kind, request, out))) {
            system.configure(formatConfiguration(1, "gen", kind));
            system.register("app", "app", app.address(), "a");
            system.awaitReady("app");
            try (Socket client = system.connect()) {
                String request = Http.request("POST", "/gen/x", "key-1", "p");
                client.getOutputStream()
                        .write(Http.toBytes(request.replace("-Ms: 2000", "-Ms: 60000")));
                workStarted.await();
            }

            workCancelled.await();
            assertThat(app.requests()).hasSize(1);
        }
    }

    /** Sends events until the edge closes the connection. */
    private boolean writeUntilCancelled(
            String kind, ScriptedEndpoint.ReceivedRequest request, OutputStream out)
            throws IOException {
        boolean streaming = kind.equals("streaming");
        if (streaming) {
            Http.writeStreamHead(request, out);
        } else {
            out.write(
                    Http.toBytes(
                            "HTTP/1.1 200 OK\r\nX-Replica-Signature: s\r\nX-Request-Id: r1\r\n"));
            out.write(Http.toBytes("Transfer-Encoding: chunked\r\n\r\n"));
        }
        workStarted.countDown();
        try {
            for (int id = 1; true; id++) {
                Http.writeEvent(out, id);
                Http.sleep(20);
            }
        } catch (IOException e) {
            workCancelled.countDown();
            throw e;
        }
    }

    private void awaitStatus(String path, int status) throws Exception {
        while (!system.sendRaw(Http.request("POST", path, "key-1", ""))
                .contains(" " + status + " ")) {
            Http.sleep(20);
        }
    }

    private static boolean respondOk(ScriptedEndpoint.ReceivedRequest request, OutputStream out)
            throws IOException {
        out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
        return true;
    }

    private static String formatConfiguration(long version, String route, String kind) {
        return CONFIGURATION.formatted(version, route, route, kind);
    }
}
