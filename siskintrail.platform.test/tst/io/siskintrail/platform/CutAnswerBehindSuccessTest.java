package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import io.siskintrail.platform.SoakSecondAnswerPlan.Cut;
import io.siskintrail.platform.SoakSecondAnswerPlan.Delimiter;
import io.siskintrail.platform.SoakSecondAnswerPlan.Ids;
import io.siskintrail.platform.SoakSecondAnswers.Answer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A cut second answer behind a success, completed by the head of the failure that follows. */
@Timeout(60)
class CutAnswerBehindSuccessTest {
    private static final String CONFIGURATION = SoakConfiguration.format(7);
    private static final int PAUSE_MILLIS = 20;

    @TempDir Path folder;
    private LoopbackSystem system;
    private final Map<OutputStream, ReceivedRequest> last = new ConcurrentHashMap<>();

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    /** Guards against the status of a second answer in front of the failure of the next request. */
    @ParameterizedTest
    @CsvSource({
        "/safe/x, app, IN_STATUS_LINE, false",
        "/safe/x, app, AFTER_STATUS_LINE, false",
        "/safe/x, app, IN_HEADER_NAME, false",
        "/safe/x, app, IN_HEADER_VALUE, false",
        "/safe/x, app, BEFORE_ID, false",
        "/safe/x, app, BEHIND_ID, false",
        "/safe/x, app, IN_HEADER_VALUE, true",
        "/once/x, app, IN_STATUS_LINE, false",
        "/once/x, app, IN_HEADER_VALUE, false",
        "/once/x, app, IN_HEADER_VALUE, true",
        "/gen/x, llm, IN_HEADER_VALUE, false"
    })
    void nextFailureDoesNotTakeTheStatusOfCutSecondAnswer(
            String path, String service, Cut cut, boolean idle) throws Exception {
        try (ScriptedEndpoint endpoint =
                new ScriptedEndpoint((n, request, out) -> answer(request, out, cut, idle))) {
            system.register("e1", service, endpoint.address(), "a");
            system.awaitReady(service.equals("app") ? "llm" : "app");
            assertThat(send(path, "r1")).contains("HTTP/1.1 200");

            assertThat(send(path, "r2")).doesNotContain("HTTP/1.1 200");
        }
    }

    private String send(String path, String requestId) throws IOException {
        return system.sendRaw(
                Http.request("POST", path, "key-1", "")
                        .replace("X-Request-Id: r1", "X-Request-Id: " + requestId));
    }

    /** Answers the request r1 with a success and part of a second one, and others with failures. */
    private boolean answer(ReceivedRequest request, OutputStream out, Cut cut, boolean idle)
            throws IOException {
        ReceivedRequest before = last.put(out, request);
        if (before != null && !idle) {
            writeCut(before, out, cut);
        }
        boolean success = "r1".equals(request.header("X-Request-Id"));
        if (success && request.head().startsWith("POST /gen/")) {
            Http.writeStreamHead(request, out);
            Http.writeEvent(out, 1);
            Http.writeLastChunk(out);
        } else {
            out.write(ScriptedEndpoint.signedResponse(request, success ? 200 : 500, "", "body"));
            out.flush();
        }
        Http.sleep(PAUSE_MILLIS);
        if (success && idle) {
            writeCut(request, out, cut);
        }
        return true;
    }

    private static void writeCut(ReceivedRequest request, OutputStream out, Cut cut)
            throws IOException {
        String id = request.header("X-Request-Id");
        String whole =
                SoakAnswerBytes.call(
                        id, new Answer(200, "1.2", "second answer"), Ids.OWN, Delimiter.LENGTH);
        out.write(Http.toBytes(SoakAnswerBytes.cut(whole, cut)));
        out.flush();
        Http.sleep(PAUSE_MILLIS);
    }
}
