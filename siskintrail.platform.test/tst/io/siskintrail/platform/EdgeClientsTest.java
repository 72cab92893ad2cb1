package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that leave, and what an edge has to know before it says that it is ready. */
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

    private final CountDownLatch running = new CountDownLatch(1);
    private final CountDownLatch cancelled = new CountDownLatch(1);
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
    void edgeIsReadyOnlyWithAConfigurationAndEndpoints() throws Exception {
        assertThat(system.readiness()).isEqualTo(503);

        try (StandIn app = new StandIn((n, r, out) -> false)) {
            system.configure(configuration(1, "old", "safe"));
            system.register("app", "app", app.address(), "a");
            system.awaitServing("app");

            assertThat(system.readiness()).isEqualTo(200);
        }
    }

    @Test
    void edgeNeverGoesBackToAnOlderConfiguration() throws Exception {
        try (StandIn app = new StandIn((n, r, out) -> answer(r, out))) {
            system.configure(configuration(3, "old", "safe"));
            system.configure(configuration(5, "new", "safe"));
            system.register("app", "app", app.address(), "a");
            system.awaitServing("app");
            awaitStatus("/new/x", 200);

            system.configure(configuration(4, "old", "safe"));

            assertThat(system.raw(Http.request("POST", "/new/x", "key-1", ""))).contains(" 200 ");
            assertThat(system.raw(Http.request("POST", "/old/x", "key-1", ""))).contains(" 404 ");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"streaming", "unsafe", "safe"})
    void workEndsWhenTheClientLeaves(String kind) throws Exception {
        try (StandIn app = new StandIn((n, r, out) -> work(kind, r, out))) {
            system.configure(configuration(1, "gen", kind));
            system.register("app", "app", app.address(), "a");
            system.awaitServing("app");
            try (Socket client = system.connect()) {
                String request = Http.request("POST", "/gen/x", "key-1", "p");
                client.getOutputStream()
                        .write(Http.text(request.replace("-Ms: 2000", "-Ms: 60000")));
                running.await();
            }

            cancelled.await();
            assertThat(app.seen()).hasSize(1);
        }
    }

    /** Works until the connection is closed from the other side. */
    private boolean work(String kind, StandIn.Seen request, OutputStream out) throws IOException {
        boolean stream = kind.equals("streaming");
        if (stream) {
            Http.beginStream(request, out);
        } else {
            out.write(
                    Http.text("HTTP/1.1 200 OK\r\nX-Replica-Signature: s\r\nX-Request-Id: r1\r\n"));
            out.write(Http.text("Transfer-Encoding: chunked\r\n\r\n"));
        }
        running.countDown();
        try {
            for (int id = 1; true; id++) {
                Http.event(out, id);
                Http.pause(20);
            }
        } catch (IOException e) {
            cancelled.countDown();
            throw e;
        }
    }

    private void awaitStatus(String path, int status) throws Exception {
        while (!system.raw(Http.request("POST", path, "key-1", "")).contains(" " + status + " ")) {
            Http.pause(20);
        }
    }

    private static boolean answer(StandIn.Seen request, OutputStream out) throws IOException {
        out.write(StandIn.signed(request, 200, "", "fine"));
        return true;
    }

    private static String configuration(long version, String route, String kind) {
        return CONFIGURATION.formatted(version, route, route, kind);
    }
}
