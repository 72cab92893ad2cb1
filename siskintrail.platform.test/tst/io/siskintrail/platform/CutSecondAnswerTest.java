package io.siskintrail.platform;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Second answers that stop inside their head, so that the next answer completes them. */
@Timeout(60)
class CutSecondAnswerTest {
    private static final String HEADER = "X-Replica-Signature: t\r\n";

    /** Ends of a head behind {@code HTTP/1.1 } and a status. */
    private static final List<String> CUTS =
            List.of(
                    "",
                    " O",
                    " OK",
                    " OK\r\n",
                    " OK\r\nX-Note:",
                    " OK\r\nX-Note: a",
                    " OK\r\nX-Note: a\r",
                    " OK\r\nX-Note: a\r\n",
                    " OK\r\nX-Note: a\r\nX-Other: b\r\nX-Third: c",
                    " OK\r\nX-Replica-Signature: t",
                    " OK\r\n" + HEADER,
                    " OK\r\n" + HEADER + "\r",
                    " OK\r\n" + HEADER + "X-Note: a",
                    " OK\r\n" + HEADER + "Content-Length: 3",
                    " OK\r\n" + HEADER + "Content-Length: 3\r\nX-Note: a",
                    " OK\r\n" + HEADER + "Transfer-Encoding: chunked",
                    " OK\r\n" + HEADER + "Transfer-Encoding: chunked\r\nX-Note: a",
                    " OK\r\nX-Not-Executed: 1\r\nX-Note: a",
                    " OK\r\nX-Request-Id:",
                    " OK\r\nX-Request-Id: ");

    @TempDir static Path folder;
    private static AnswerBench bench;

    /** When the second answer is written. */
    enum Moment {
        /** Behind the first answer, in the same write. */
        AT_ONCE,
        /** On the idle connection. */
        IDLE,
        /** When the next request has come. */
        NEXT,
        /** When the next request has come, in one write with its answer. */
        JOINED
    }

    @BeforeAll
    static void start() throws Exception {
        bench = new AnswerBench(folder);
    }

    @AfterAll
    static void stop() throws IOException {
        bench.close();
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("/safe/", 200, 500, Moment.AT_ONCE),
                Arguments.of("/safe/", 200, 500, Moment.IDLE),
                Arguments.of("/safe/", 200, 500, Moment.NEXT),
                Arguments.of("/safe/", 200, 500, Moment.JOINED),
                Arguments.of("/safe/", 200, 504, Moment.NEXT),
                Arguments.of("/safe/", 500, 200, Moment.IDLE),
                Arguments.of("/safe/", 500, 200, Moment.NEXT),
                Arguments.of("/once/", 200, 500, Moment.AT_ONCE),
                Arguments.of("/once/", 200, 500, Moment.IDLE),
                Arguments.of("/once/", 200, 500, Moment.NEXT),
                Arguments.of("/once/", 200, 503, Moment.NEXT),
                Arguments.of("/once/", 500, 200, Moment.IDLE),
                Arguments.of("/once/", 500, 200, Moment.NEXT),
                Arguments.of("/once/", 503, 200, Moment.NEXT),
                Arguments.of("/gen/", 200, 500, Moment.IDLE),
                Arguments.of("/gen/", 200, 500, Moment.NEXT));
    }

    /** Guards against the status of a second answer with the ID and the signature of the next. */
    @ParameterizedTest(name = "{0}: cut {1} before {2}, {3}")
    @MethodSource("cases")
    void headsAreNotJoined(String path, int cutStatus, int nextStatus, Moment moment)
            throws IOException {
        int firstStatus = path.equals("/gen/") ? 200 : 500;
        for (String cut : CUTS) {
            String text = "HTTP/1.1 " + cutStatus + cut;
            String first = bench.newId();
            bench.begin(
                    (request, before, out) ->
                            first.equals(request.header("X-Request-Id"))
                                    ? answerFirst(request, out, firstStatus, text, moment)
                                    : answerNext(request, before, out, nextStatus, text, moment));
            bench.send(path + first, first);
            Http.sleep(moment == Moment.IDLE ? 2 * AnswerBench.READ_MILLIS : 2);
            String next = bench.newId();
            bench.send(path + next, next);
            bench.nameWrong(text.replace("\r", "\\r").replace("\n", "\\n"));
        }
        bench.assertNoneWrong();
    }

    private static boolean answerFirst(
            ReceivedRequest request, OutputStream out, int status, String cut, Moment moment)
            throws IOException {
        byte[] behind = Http.toBytes(moment == Moment.AT_ONCE ? cut : "");
        out.write(Http.concat(bench.answer(request, status), behind));
        out.flush();
        if (moment == Moment.IDLE) {
            Http.sleep(AnswerBench.READ_MILLIS);
            out.write(Http.toBytes(cut));
        }
        return true;
    }

    private static boolean answerNext(
            ReceivedRequest request,
            ReceivedRequest before,
            OutputStream out,
            int status,
            String cut,
            Moment moment)
            throws IOException {
        boolean reused = before != null;
        if (reused && moment == Moment.NEXT) {
            out.write(Http.toBytes(cut));
            out.flush();
            Http.sleep(AnswerBench.READ_MILLIS);
        }
        byte[] answer = bench.answer(request, status);
        byte[] joined = Http.toBytes(reused && moment == Moment.JOINED ? cut : "");
        out.write(Http.concat(joined, answer));
        return true;
    }
}
