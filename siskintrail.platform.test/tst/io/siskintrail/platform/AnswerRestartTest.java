package io.siskintrail.platform;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Answers that stop inside their head, behind which their endpoint answers the request anew. */
@Timeout(60)
class AnswerRestartTest {
    private static final List<String> BEGINNINGS =
            List.of(
                    " O",
                    " OK",
                    " OK\r\n",
                    " OK\r\nX-Note: a",
                    " OK\r\nX-Replica-Signature: t",
                    " OK\r\nX-Request-Id: %s",
                    " OK\r\nX-Request-Id: %s\r\n",
                    " OK\r\nX-Request-Id: %s\r\nX-Note: a",
                    " OK\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\nX-Note: a",
                    " OK\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\nContent-Length: 4",
                    " OK\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\nContent-Length: 200"
                            + "\r\n\r\n");

    @TempDir static Path folder;
    private static AnswerBench bench;

    @BeforeAll
    static void start() throws Exception {
        bench = new AnswerBench(folder);
    }

    @AfterAll
    static void stop() throws IOException {
        bench.close();
    }

    /** Guards against the status of what was begun with the rest of what was answered. */
    @ParameterizedTest(name = "{0}: begins {1}, answers {2}")
    @CsvSource({
        "/safe/, 200, 500",
        "/once/, 200, 500",
        "/gen/, 200, 500",
        "/safe/, 500, 200",
        "/once/, 500, 200",
        "/once/, 503, 200"
    })
    void beginningIsNoPartOfTheAnswerBehindIt(String path, int begun, int answered)
            throws IOException {
        for (String beginning : BEGINNINGS) {
            bench.begin(
                    (request, before, out) -> {
                        out.write(Http.toBytes("HTTP/1.1 " + begun + fill(beginning, request)));
                        out.flush();
                        Http.sleep(AnswerBench.READ_MILLIS);
                        out.write(bench.answer(request, answered));
                        out.flush();
                        Http.sleep(AnswerBench.READ_MILLIS);
                        return false;
                    });
            String id = bench.newId();
            bench.send(path + id, id);
            bench.nameWrong(beginning.replace("\r\n", "|"));
        }
        bench.assertNoneWrong();
    }

    private static String fill(String beginning, ReceivedRequest request) {
        return beginning.replace("%s", request.header("X-Request-Id"));
    }
}
