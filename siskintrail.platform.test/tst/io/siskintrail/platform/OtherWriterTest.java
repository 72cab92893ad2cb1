package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reports of other writers under the id or the address of an endpoint. */
@Timeout(60)
class OtherWriterTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":2},
             {"name":"other","host":"h.example","pathPrefix":"/other/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"other",
              "maxAttempts":2}],
             "services":[{"name":"app"},{"name":"other"}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final int REQUESTS = 12;

    /** Time in which a report reaches the edges; clients may count on {@code drainMs}, 2 s. */
    private static final long SPREAD_MILLIS = 500;

    private LoopbackSystem system;
    private ScriptedEndpoint leaving;
    private ScriptedEndpoint staying;
    private long born;

    @TempDir Path folder;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        leaving = answering();
        staying = answering();
        system.configure(CONFIGURATION);
        born = System.currentTimeMillis() - 10_000;
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
        leaving.close();
        staying.close();
    }

    /** Guards against a replica whose own word counts for nothing beside another writer's. */
    @ParameterizedTest
    @CsvSource({
        "leaver, draining, false",
        "leaver, delete, false",
        "stranger, draining, false",
        "stranger, delete, false",
        "leaver, draining, true",
        "leaver, delete, true",
        "stranger, draining, true",
        "stranger, delete, true"
    })
    void replicaThatLeavesGetsNoRequestsThoughAnotherWriterNamedIt(
            String writtenId, String word, boolean firstAfterRestart) throws Exception {
        awaitServing();
        if (firstAfterRestart) {
            system.restartRegistry();
        }
        writeUnknownService(writtenId);
        report("leaver", "app", leaving, 2, "ready");
        report("staying", "app", staying, 2, "ready");
        Http.sleep(SPREAD_MILLIS);
        assertThat(requestsReaching(leaving)).isGreaterThan(0);

        if (word.equals("delete")) {
            assertThat(system.callRegistry("DELETE", "/api/replicas/leaver", "").statusCode())
                    .isEqualTo(200);
        } else {
            report("leaver", "app", leaving, 3, "draining");
        }
        Http.sleep(SPREAD_MILLIS);
        assertThat(requestsReaching(leaving)).isEqualTo(0);
        report("idle", "other", staying, 1, "ready");
        try (LoopbackEdge later = system.startEdge("edge-2")) {
            later.awaitReady();
            int before = leaving.requests().size();
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(later.sendRaw(Http.request("POST", "/safe/x", "key-1", "")))
                        .startsWith("HTTP/1.1 200");
            }
            assertThat(leaving.requests()).hasSize(before);
        }
    }

    /** Guards against a replica that is lost to its clients because of another writer. */
    @ParameterizedTest
    @ValueSource(strings = {"leaver", "stranger"})
    void replicaThatAnotherWriterNamesIsServed(String writtenId) throws Exception {
        awaitServing();
        system.callRegistry("DELETE", "/api/replicas/staying", "");
        writeUnknownService(writtenId);
        Http.sleep(SPREAD_MILLIS);

        assertThat(requestsReaching(leaving)).isEqualTo(REQUESTS);
    }

    /** Guards against requests to the endpoint that an address belonged to before. */
    @ParameterizedTest
    @ValueSource(strings = {"leaver", "successor"})
    void addressUsedAgainByAnotherServiceIsServedForThatOneOnly(String id) throws Exception {
        awaitServing();
        born = System.currentTimeMillis();
        report(id, "other", leaving, 1, "ready");
        Http.sleep(SPREAD_MILLIS);

        assertThat(requestsReaching(leaving)).isEqualTo(0);
        int before = leaving.requests().size();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(send("/other/x")).startsWith("HTTP/1.1 200");
        }
        assertThat(leaving.requests()).hasSize(before + REQUESTS);
        report(id, "other", leaving, 2, "draining");
        Http.sleep(SPREAD_MILLIS);
        send("/other/x");
        assertThat(leaving.requests()).hasSize(before + REQUESTS);
    }

    /** Guards against a report without a start that ends an endpoint at another address. */
    @Test
    void reportWithoutAStartFromAnotherAddressChangesNothing() throws Exception {
        awaitServing();
        try (ScriptedEndpoint elsewhere = answering()) {
            put("leaver", "app", elsewhere.address(), 9, "draining", "");
            Http.sleep(SPREAD_MILLIS);

            assertThat(requestsReaching(leaving)).isGreaterThan(0);
        }
    }

    private void awaitServing() throws Exception {
        report("leaver", "app", leaving, 1, "ready");
        report("staying", "app", staying, 1, "ready");
        system.awaitReady("other");
    }

    private void writeUnknownService(String id) throws Exception {
        String start = ",\"born\":" + System.currentTimeMillis();
        put(id, "nobody", leaving.address(), 1, "ready", start);
    }

    /** Reports as an endpoint does itself; the call must be acknowledged. */
    private void report(
            String id, String service, ScriptedEndpoint endpoint, int sequence, String state)
            throws Exception {
        String start = ",\"born\":" + born;
        assertThat(put(id, service, endpoint.address(), sequence, state, start)).isEqualTo(200);
    }

    private int put(
            String id, String service, String address, int sequence, String state, String start)
            throws Exception {
        String json =
                """
                {"service":"%s","address":"%s","zone":"a","version":"v1","slots":4,"state":"%s",
                 "coldRemainingMs":0,"sequence":%d%s}
                """
                        .formatted(service, address, state, sequence, start);
        return system.callRegistry("PUT", "/api/replicas/" + id, json).statusCode();
    }

    /** Sends requests, which must be answered; returns how many an endpoint received. */
    private int requestsReaching(ScriptedEndpoint endpoint) throws Exception {
        int before = endpoint.requests().size();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(send("/safe/x")).startsWith("HTTP/1.1 200");
        }
        return endpoint.requests().size() - before;
    }

    private String send(String path) throws Exception {
        return system.sendRaw(Http.request("POST", path, "key-1", ""));
    }

    private static ScriptedEndpoint answering() throws Exception {
        return new ScriptedEndpoint(
                (number, request, out) -> {
                    out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                    return true;
                });
    }
}
