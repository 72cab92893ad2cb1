package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which API keys are accepted, by the list of client accounts in the configuration in force. */
@Timeout(60)
class ApiKeyRequirementTest {
    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":1},
             {"name":"open","host":"h.example","pathPrefix":"/open/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"app",
              "maxAttempts":1,"anonymous":true}],
             "services":[{"name":"app"}]%s}
            """;

    private static final String ACME = ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"]}]";
    private static final String NO_ACCOUNT = ",\"tenants\":[]";
    private static final String NO_LIST = "";

    /** Time in which an acknowledged configuration is in force. */
    private static final long APPLY_MILLIS = 2_000;

    private static final long POLL_MILLIS = 20;

    @TempDir Path folder;
    private LoopbackSystem system;
    private ScriptedEndpoint app;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        app =
                new ScriptedEndpoint(
                        (number, request, out) -> {
                            out.write(ScriptedEndpoint.signedResponse(request, 200, "", "done"));
                            return true;
                        });
    }

    @AfterEach
    void stop() throws Exception {
        app.close();
        system.close();
    }

    /**
     * Guards against an empty list of accounts that opens all routes, from the first version on.
     */
    @ParameterizedTest(name = "{0}, key {1}: {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                ",\"tenants\":[] | '' | 401",
                ",\"tenants\":[] | key-1 | 401",
                ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[]}] | '' | 401",
                ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[]}] | key-1 | 401",
                ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"]}] | '' | 401",
                ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"]}] | key-1 | 200",
                ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"]}] | key-2 | 401",
                "'' | '' | 200",
                "'' | key-1 | 200",
            })
    void firstConfigurationDecidesWhichKeysAreAccepted(String accounts, String key, int expected)
            throws Exception {
        configure(1, accounts);
        system.register("app-1", "app", app.address(), "a");
        system.awaitReady("unused");

        assertThat(status("/safe/x", key)).isEqualTo(expected);
        assertThat(app.requests()).hasSize(expected == 200 ? 1 : 0);
        assertThat(status("/open/x", "")).isEqualTo(200);
    }

    /** Guards against routes that open when the last account, or its last key, is taken away. */
    @ParameterizedTest
    @ValueSource(strings = {NO_ACCOUNT, ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[]}]"})
    void noKeyIsAcceptedOnceTheLastOneIsTakenAway(String accounts) throws Exception {
        configure(1, ACME);
        system.register("app-1", "app", app.address(), "a");
        system.awaitReady("unused");
        assertThat(status("/safe/x", "key-1")).isEqualTo(200);

        configure(2, accounts);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(APPLY_MILLIS);
        while (System.nanoTime() < end) {
            assertThat(status("/safe/x", "never-a-key")).isEqualTo(401);
            Http.sleep(POLL_MILLIS);
        }

        assertThat(status("/safe/x", "key-1")).isEqualTo(401);
        assertThat(status("/safe/x", "")).isEqualTo(401);
        assertThat(status("/open/x", "")).isEqualTo(200);
    }

    /** Guards against an empty list that is stored or handed out as a missing one. */
    @Test
    void noKeyIsAcceptedAfterRestarts() throws Exception {
        configure(1, ACME);
        configure(2, NO_ACCOUNT);
        system.register("app-1", "app", app.address(), "a");
        system.restartRegistry();
        try (LoopbackEdge edge = system.startEdge("edge-2")) {
            edge.awaitReady();

            assertThat(edge.sendRaw(Http.request("POST", "/safe/x", "key-1", "p")))
                    .startsWith("HTTP/1.1 401");
            assertThat(edge.sendRaw(Http.request("POST", "/safe/x", "", "p")))
                    .startsWith("HTTP/1.1 401");
        }
    }

    /** Guards against an account that does not come back. */
    @Test
    void listThatCameBackIsInForce() throws Exception {
        configure(1, NO_ACCOUNT);
        configure(2, NO_LIST);
        configure(3, ACME);
        system.register("app-1", "app", app.address(), "a");
        system.awaitReady("unused");
        Http.sleep(APPLY_MILLIS);

        assertThat(status("/safe/x", "key-1")).isEqualTo(200);
        assertThat(status("/safe/x", "")).isEqualTo(401);
    }

    /** Guards against a list that cannot be read and passes for a missing one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "{}",
                "false",
                "\"\"",
                "[null]",
                "[{}]",
                "[{\"name\":\"acme\"}]",
                "[{\"name\":\"acme\",\"apiKeys\":null}]",
                "[{\"name\":\"acme\",\"apiKeys\":{}}]"
            })
    void listThatCannotBeReadIsRefused(String accounts) throws Exception {
        configure(1, ACME);
        String json = CONFIGURATION.formatted(2, ",\"tenants\":" + accounts);

        assertThat(system.callRegistry("PUT", "/api/config", json).statusCode()).isEqualTo(400);
        assertThat(system.callRegistry("GET", "/api/config", "").body()).contains("\"version\":1,");
    }

    private void configure(long version, String accounts) throws Exception {
        system.configure(CONFIGURATION.formatted(version, accounts));
    }

    private int status(String path, String key) throws Exception {
        String response = system.sendRaw(Http.request("POST", path, key, "p"));
        assertWithMessage(response).that(response).startsWith("HTTP/1.1 ");
        return Integer.parseInt(response.substring(9, 12));
    }
}
