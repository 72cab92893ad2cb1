package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An endpoint that answers a request twice, the second time where the next answer is expected. */
@Timeout(60)
class SecondAnswerTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":6000,"targetLatencyMs":1000,"priority":1,"service":"app",
              "maxAttempts":3},
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":6000,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":3},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":9000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":3,"resumable":true,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    @TempDir Path folder;
    private LoopbackSystem system;
    private final Map<OutputStream, ReceivedRequest> last = new HashMap<>();
    private final List<Integer> answered = new ArrayList<>();

    /** When the second answer to a request is written. */
    enum Moment {
        /** Behind the first one, in the same write. */
        AT_ONCE,
        /** When the connection is idle. */
        IDLE,
        /** When the next request has come, before its answer. */
        NEXT
    }

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    /** Guards against a success for a request that the endpoint answered with a failure. */
    @ParameterizedTest
    @CsvSource({
        "/safe/x, app, 500, NEXT",
        "/safe/x, app, 500, IDLE",
        "/safe/x, app, 500, AT_ONCE",
        "/safe/x, app, 503, NEXT",
        "/once/x, app, 500, NEXT",
        "/once/x, app, 500, IDLE",
        "/once/x, app, 500, AT_ONCE",
        "/once/x, app, 503, NEXT",
        "/gen/x, llm, 500, NEXT",
        "/gen/x, llm, 503, NEXT"
    })
    void secondAnswerIsNotTheOneToTheSameIdSentAgain(
            String path, String service, int status, Moment moment) throws Exception {
        try (ScriptedEndpoint endpoint =
                new ScriptedEndpoint((n, request, out) -> answer(request, out, status, moment))) {
            system.register("e1", service, endpoint.address(), "a");
            system.awaitReady(service.equals("app") ? "llm" : "app");
            send(path);
            String response = send(path);
            assertThat(response).doesNotContain("HTTP/1.1 200");
            assertThat(response).doesNotContain("second answer");
        }
    }

    /** Guards against the same where the edge itself sends the request again. */
    @ParameterizedTest
    @CsvSource({"500, NEXT", "503, NEXT", "500, IDLE", "500, AT_ONCE"})
    void secondAnswerIsNotTheOneToARetryAtTheSameAddress(int status, Moment moment)
            throws Exception {
        try (ScriptedEndpoint endpoint =
                new ScriptedEndpoint((n, request, out) -> answer(request, out, status, moment))) {
            system.register("e1", "app", endpoint.address(), "a");
            system.register("e2", "app", endpoint.address(), "a");
            system.awaitReady("llm");
            String response = send("/safe/x");
            assertThat(answered).contains(status);
            assertThat(response).doesNotContain("HTTP/1.1 200");
            assertThat(response).doesNotContain("second answer");
        }
    }

    private String send(String path) throws IOException {
        return system.sendRaw(Http.request("GET", path, "key-1", ""));
    }

    private synchronized boolean answer(
            ReceivedRequest request, OutputStream out, int status, Moment moment)
            throws IOException {
        ReceivedRequest before = last.put(out, request);
        if (before != null && moment == Moment.NEXT) {
            out.write(secondAnswer(before));
            out.flush();
            Http.sleep(20);
        }
        String extra = status == 503 ? "X-Not-Executed: 1\r\n" : "";
        byte[] first = ScriptedEndpoint.signedResponse(request, status, extra, "failure");
        answered.add(status);
        if (moment == Moment.AT_ONCE) {
            out.write(concat(first, secondAnswer(request)));
            return true;
        }
        out.write(first);
        out.flush();
        if (moment == Moment.IDLE) {
            Http.sleep(20);
            out.write(secondAnswer(request));
        }
        return true;
    }

    private static byte[] secondAnswer(ReceivedRequest request) {
        return ScriptedEndpoint.signedResponse(request, 200, "", "second answer");
    }

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] all = java.util.Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }
}
