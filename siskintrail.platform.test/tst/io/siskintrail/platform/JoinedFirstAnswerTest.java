package io.siskintrail.platform;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** First answers that are cut, and completed by the second answer to the same request. */
@Timeout(60)
class JoinedFirstAnswerTest {
    private static final String HEAD = "HTTP/1.1 %d X\r\nX-Replica-Signature: s\r\n";
    private static final String LENGTH = "Content-Length: 0\r\n";

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

    /** Guards against a success with the status of a cut answer and the rest of a failure. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nX-Note: a",
                "HTTP/1.1 200 OK\r\nX-Note: a\r\n",
                "HTTP/1.1 200 OK\r\nX-Note: a\r",
                "HTTP/1.1 200 OK\r\nX-No",
                "HTTP/1.1 200 OK\r\nX-Note: a\r\n ",
                "HTTP/1.1 200 OK\r\nX-Note:"
            })
    void cutHeadIsNotCompletedByTheSecondAnswer(String cut) throws IOException {
        for (String path : new String[] {"/safe/", "/once/", "/gen/"}) {
            bench.begin(
                    (request, before, out) -> {
                        out.write(Http.concat(Http.toBytes(cut), bench.answer(request, 500)));
                        return true;
                    });
            bench.send(path + "x", bench.newId());
            bench.nameWrong(path + cut.replace("\r", "\\r").replace("\n", "\\n"));
        }
        bench.assertNoneWrong();
    }

    /** Guards against a failure that hides in an interim answer, before a late success. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 100 Continue\r\nX-Note: a", "HTTP/1.1 103 X"})
    void failureInsideAnInterimAnswerIsNotSkipped(String cut) throws IOException {
        for (String path : new String[] {"/safe/", "/once/", "/gen/"}) {
            bench.begin(
                    (request, before, out) -> {
                        bench.recordGiven(request, 500, "");
                        out.write(Http.toBytes(cut + HEAD.formatted(500) + id(request) + LENGTH));
                        out.write(Http.toBytes("\r\n"));
                        out.flush();
                        Http.sleep(AnswerBench.READ_MILLIS);
                        String second = AnswerBench.body("second", "x", 200);
                        String length = "Content-Length: %d\r\n\r\n".formatted(second.length());
                        out.write(
                                Http.toBytes(HEAD.formatted(200) + id(request) + length + second));
                        return true;
                    });
            bench.send(path + "x", bench.newId());
            bench.nameWrong(path);
        }
        bench.assertNoneWrong();
    }

    /** Guards against a body that is cut and filled up with the second answer. */
    @ParameterizedTest
    @CsvSource({"length", "chunked", "unframed"})
    void cutBodyIsNotFilledWithTheSecondAnswer(String framing) throws IOException {
        for (String path : new String[] {"/safe/", "/once/", "/gen/"}) {
            bench.begin(
                    (request, before, out) -> {
                        String body = AnswerBench.body("first", "x".repeat(200), 200);
                        bench.recordGiven(request, 200, body);
                        String cutBody = body.substring(0, 60);
                        String length = "%x\r\n".formatted(body.length());
                        String cut =
                                switch (framing) {
                                    case "length" ->
                                            "Content-Length: %d\r\n\r\n".formatted(body.length());
                                    case "chunked" -> "Transfer-Encoding: chunked\r\n\r\n" + length;
                                    default -> "\r\n";
                                };
                        out.write(
                                Http.concat(
                                        Http.toBytes(
                                                HEAD.formatted(200) + id(request) + cut + cutBody),
                                        bench.answer(request, 500)));
                        out.flush();
                        Http.sleep(AnswerBench.READ_MILLIS);
                        out.write(bench.answer(request, 500));
                        return !framing.equals("unframed");
                    });
            bench.send(path + "x", bench.newId());
            bench.nameWrong(path + framing);
        }
        bench.assertNoneWrong();
    }

    private static String id(ReceivedRequest request) {
        return "X-Request-Id: %s\r\n".formatted(request.header("X-Request-Id"));
    }
}
