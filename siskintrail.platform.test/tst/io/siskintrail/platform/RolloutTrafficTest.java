package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The traffic of a service for which an operator orders a rollout. */
@Timeout(60)
class RolloutTrafficTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"app",
              "maxAttempts":2}],
             "services":[{"name":"app"},{"name":"other"}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final int REQUESTS = 12;

    /** Time in which a rollout reaches the edges. */
    private static final long SPREAD_MILLIS = 500;

    @TempDir Path folder;
    private LoopbackSystem system;
    private ScriptedEndpoint first;
    private ScriptedEndpoint second;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        first = answering();
        second = answering();
        system.configure(CONFIGURATION);
        report("first", first, "v1");
        report("second", second, "v2");
        system.awaitReady("other");
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
        first.close();
        second.close();
    }

    /** Guards against traffic that an edge sends to a version without a decision of the leader. */
    @Test
    void versionOfARunningRolloutGetsNoRequests() throws Exception {
        sendRequests();
        boolean isFirstPreferred = first.requests().size() > second.requests().size();
        ScriptedEndpoint excluded = isFirstPreferred ? first : second;
        ScriptedEndpoint other = isFirstPreferred ? second : first;
        String version = isFirstPreferred ? "v1" : "v2";
        int received = excluded.requests().size();
        int receivedByOther = other.requests().size();

        assertThat(order(version).statusCode()).isEqualTo(200);
        Http.sleep(SPREAD_MILLIS);
        sendRequests();

        assertThat(excluded.requests()).hasSize(received);
        assertThat(other.requests()).hasSize(receivedByOther + REQUESTS);
        HttpResponse<String> read = system.callRegistry("GET", "/api/rollouts/app", "");
        assertThat(read.statusCode()).isEqualTo(200);
        assertThat(read.body())
                .isEqualTo("{\"state\":\"running\",\"to\":\"%s\"}".formatted(version));
    }

    private HttpResponse<String> order(String version) throws Exception {
        String json = "{\"service\":\"app\",\"to\":\"%s\",\"durationS\":12}".formatted(version);
        return system.callRegistry("POST", "/api/rollouts", json);
    }

    private void report(String id, ScriptedEndpoint endpoint, String version) throws Exception {
        String json =
                """
                {"service":"app","address":"%s","zone":"a","version":"%s","slots":4,
                 "state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}
                """
                        .formatted(endpoint.address(), version, System.currentTimeMillis());
        assertThat(system.callRegistry("PUT", "/api/replicas/" + id, json).statusCode())
                .isEqualTo(200);
    }

    private void sendRequests() throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(system.sendRaw(Http.request("POST", "/safe/x", "key-1", "")))
                    .startsWith("HTTP/1.1 200");
        }
    }

    private static ScriptedEndpoint answering() throws Exception {
        return new ScriptedEndpoint(
                (number, request, out) -> {
                    out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                    return true;
                });
    }
}
