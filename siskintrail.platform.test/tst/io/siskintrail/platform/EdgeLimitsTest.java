package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limits of a newer configuration on connections that were open before it. */
@Timeout(60)
class EdgeLimitsTest {
    private static final int LARGE_BODY_BYTES = 100_000;
    private static final int LARGE_HEADER_BYTES = 5_000;
    private static final int MAX_POLLS = 600;

    /** Idle time above the smaller limit of idle time and the grace beyond it. */
    private static final long PAUSE_MILLIS = 4_000;

    private final CountDownLatch requestReceived = new CountDownLatch(1);
    private final CountDownLatch responseReleased = new CountDownLatch(1);
    private LoopbackSystem system;
    private ScriptedEndpoint app;

    @TempDir Path folder;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder, 3);
        app =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            if (request.head().startsWith("POST /old/held")) {
                                requestReceived.countDown();
                                await(responseReleased);
                            }
                            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                            return true;
                        });
    }

    @AfterEach
    void stop() throws Exception {
        responseReleased.countDown();
        app.close();
        system.close();
    }

    /** Guards against requests that are judged by the limits at the opening of their connection. */
    @ParameterizedTest
    @CsvSource({
        "body, 16384, 65536, 16384, 4194304, HTTP/1.1 200",
        "body, 16384, 4194304, 16384, 65536, HTTP/1.1 413",
        "chunked, 16384, 65536, 16384, 4194304, HTTP/1.1 200",
        "chunked, 16384, 4194304, 16384, 65536, HTTP/1.1 413",
        "header, 1024, 65536, 16384, 65536, HTTP/1.1 200",
        "header, 16384, 65536, 1024, 65536, HTTP/1.1 431"
    })
    void keptConnectionIsJudgedByTheNewestLimits(
            String kind,
            int oldHeaderBytes,
            int oldBodyBytes,
            int newHeaderBytes,
            int newBodyBytes,
            String status)
            throws Exception {
        configure(7, "old", oldHeaderBytes, oldBodyBytes, 15_000);
        try (Socket client = system.connect()) {
            assertThat(exchange(client, small("/old/x"))).startsWith("HTTP/1.1 200");
            configure(9, "new", newHeaderBytes, newBodyBytes, 15_000);
            assertThat(exchange(client, large(kind))).startsWith(status);
            if (!status.endsWith("431")) {
                assertThat(exchange(client, large(kind))).startsWith(status);
                assertThat(exchange(client, small("/new/x"))).startsWith("HTTP/1.1 200");
            }
        }
    }

    /** Guards against an edge that keeps the older limits for what is pipelined. */
    @ParameterizedTest
    @CsvSource({
        "body, 65536, 4194304, HTTP/1.1 200",
        "body, 4194304, 65536, HTTP/1.1 413",
        "chunked, 65536, 4194304, HTTP/1.1 200",
        "chunked, 4194304, 65536, HTTP/1.1 413"
    })
    void requestBehindOneThatIsInsideIsJudgedByTheNewestLimits(
            String kind, int oldBodyBytes, int newBodyBytes, String status) throws Exception {
        configure(7, "old", 16_384, oldBodyBytes, 15_000);
        try (Socket client = system.connect()) {
            client.getOutputStream().write(Http.toBytes(small("/old/held")));
            await(requestReceived);
            configure(9, "new", 16_384, newBodyBytes, 15_000);
            client.getOutputStream().write(Http.toBytes(large(kind)));
            Http.sleep(200);
            responseReleased.countDown();

            assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
            assertThat(readResponse(client)).startsWith(status);
        }
    }

    /** Guards against a change of limits that harms requests inside or on their way. */
    @Test
    void requestsOfTheOlderLimitsAreAnswered() throws Exception {
        configure(7, "old", 16_384, 4_194_304, 15_000);
        try (Socket inside = system.connect();
                Socket partial = system.connect()) {
            inside.getOutputStream()
                    .write(Http.toBytes(large("body").replace("/new/x", "/old/held")));
            await(requestReceived);
            String request = large("body");
            int half = request.length() / 2;
            partial.getOutputStream().write(Http.toBytes(request.substring(0, half)));
            Http.sleep(100);
            configure(9, "new", 1_024, 65_536, 100);
            Http.sleep(PAUSE_MILLIS / 4);
            partial.getOutputStream().write(Http.toBytes(request.substring(half)));

            assertThat(readResponse(partial)).containsMatch("^HTTP/1.1 (200|413)");
            Http.sleep(PAUSE_MILLIS);
            responseReleased.countDown();
            assertThat(readResponse(inside)).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against open connections that keep a smaller idle limit than clients may use. */
    @Test
    void openConnectionStaysOpenForALargerIdleLimit() throws Exception {
        configure(7, "old", 16_384, 65_536, 500);
        try (Socket client = system.connect()) {
            assertThat(exchange(client, small("/old/x"))).startsWith("HTTP/1.1 200");
            configure(9, "new", 16_384, 65_536, 15_000);
            Http.sleep(PAUSE_MILLIS);
            assertThat(exchange(client, small("/new/x"))).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against open connections that stay for a larger idle limit than is in force. */
    @Test
    void openConnectionEndsAtASmallerIdleLimit() throws Exception {
        configure(7, "old", 16_384, 65_536, 60_000);
        try (Socket client = system.connect()) {
            assertThat(exchange(client, small("/old/x"))).startsWith("HTTP/1.1 200");
            configure(9, "new", 16_384, 65_536, 500);
            client.setSoTimeout((int) (2 * PAUSE_MILLIS));
            assertThat(client.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Sets a configuration and waits until the edge serves its route {@code /name/}. */
    private void configure(
            long version, String name, int maxHeaderBytes, int maxBodyBytes, long idleMillis)
            throws Exception {
        system.configure(configuration(version, name, maxHeaderBytes, maxBodyBytes, idleMillis));
        if (version == 7) {
            system.register("app", "app", app.address(), "a");
        }
        for (int i = 0; i < MAX_POLLS; i++) {
            String response =
                    system.sendRaw(Http.request("POST", "/" + name + "/probe", "key-1", ""));
            if (response.startsWith("HTTP/1.1 200")) {
                return;
            }
            Http.sleep(20);
        }
        throw new AssertionError("the edge does not serve the configuration");
    }

    private static String configuration(
            long version, String name, int maxHeaderBytes, int maxBodyBytes, long idleMillis) {
        String route =
                """
                {"name":"%s","host":"h.example","pathPrefix":"/%s/","kind":"unsafe",
                 "timeoutMs":60000,"targetLatencyMs":500,"priority":1,"service":"app",
                 "maxAttempts":1}
                """;
        String routes =
                route.formatted("old", "old")
                        + (name.equals("old") ? "" : "," + route.formatted(name, name));
        return """
        {"version":%d,"routes":[%s],"services":[{"name":"app"}],
         "limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,
          "idleTimeoutMs":%d},
         "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
        """
                .formatted(version, routes, maxHeaderBytes, maxBodyBytes, idleMillis);
    }

    private static String small(String path) {
        return Http.request("POST", path, "key-1", "")
                .replace("Connection: close\r\n", "")
                .replace("Deadline-Ms: 2000", "Deadline-Ms: 60000");
    }

    private static String large(String kind) {
        String request = small("/new/x");
        return switch (kind) {
            case "header" ->
                    request.replace(
                            "Content-Length",
                            "X-Large: " + "x".repeat(LARGE_HEADER_BYTES) + "\r\nContent-Length");
            case "chunked" ->
                    request.replace(
                                    "Content-Length: 0\r\n\r\n",
                                    "Transfer-Encoding: chunked\r\n\r\n")
                            + "%x\r\n%s\r\n"
                                    .formatted(LARGE_BODY_BYTES, "x".repeat(LARGE_BODY_BYTES))
                            + "0\r\n\r\n";
            default ->
                    request.replace("Content-Length: 0", "Content-Length: " + LARGE_BODY_BYTES)
                            + "x".repeat(LARGE_BODY_BYTES);
        };
    }

    private static String exchange(Socket client, String request) throws IOException {
        client.getOutputStream().write(Http.toBytes(request));
        return readResponse(client);
    }

    /** Reads a response with a Content-Length; returns its head. */
    private static String readResponse(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int octet = in.read();
            if (octet < 0) {
                return "closed after " + head;
            }
            head.append((char) octet);
        }
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                int length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                String body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
                assertThat(body).hasLength(length);
            }
        }
        return head.toString();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
