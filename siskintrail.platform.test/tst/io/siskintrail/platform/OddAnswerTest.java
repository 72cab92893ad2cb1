package io.siskintrail.platform;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of unusual framing, before the answer to the next request on the connection. */
@Timeout(60)
class OddAnswerTest {
    private static final String CUT_SUCCESS = "HTTP/1.1 200 OK\r\nX-Note: a";

    @TempDir static Path folder;
    private static AnswerBench bench;

    /** Text before an answer, and changes of it. */
    enum Odd {
        AFTER_100("HTTP/1.1 100 X\r\n\r\n", ""),
        AFTER_102_WITH_ID("HTTP/1.1 102 X\r\nX-Request-Id: %s\r\n\r\n", ""),
        AFTER_103("HTTP/1.1 103 X\r\nLink: </x>\r\n\r\n", ""),
        AFTER_103_WITH_LENGTH("HTTP/1.1 103 X\r\nContent-Length: 8\r\n\r\n", ""),
        AFTER_101("HTTP/1.1 101 X\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n", ""),
        AFTER_101_TO_WEBSOCKET(
                "HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                        + "Sec-WebSocket-Accept: a\r\n\r\n",
                ""),
        AFTER_SIGNED_SUCCESS_IN_102(
                "HTTP/1.1 102 X\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\n\r\n", ""),
        OLD_VERSION("", "HTTP/1.0 %d X\r\n"),
        OLD_VERSION_KEPT("", "HTTP/1.0 %d X\r\nConnection: keep-alive\r\n"),
        LENGTH_AND_CHUNKED("", "HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n"),
        CHUNKS_WITH_LENGTH("", "HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n"),
        TWO_LENGTHS("", "HTTP/1.1 %d X\r\nContent-Length: 5\r\n"),
        LEADING_BLANK_LINES("\r\n\r\n", "");

        private final String before;
        private final String start;

        Odd(String before, String start) {
            this.before = before;
            this.start = start;
        }
    }

    @BeforeAll
    static void start() throws Exception {
        bench = new AnswerBench(folder);
    }

    @AfterAll
    static void stop() throws IOException {
        bench.close();
    }

    /** Guards against an odd answer that is not the client's, and one that spoils the next. */
    @ParameterizedTest
    @EnumSource(Odd.class)
    void oddAnswerIsOnlyThatToItsRequest(Odd odd) throws IOException {
        for (String path : new String[] {"/safe/", "/once/", "/gen/"}) {
            for (int[] statuses : new int[][] {{200, 500}, {500, 200}}) {
                bench.begin(
                        (request, before, out) -> {
                            int status = statuses[request.head().contains("first") ? 0 : 1];
                            writeOdd(odd, request, out, status);
                            return true;
                        });
                sendTwo(path);
                bench.nameWrong(path + odd);
            }
        }
        bench.assertNoneWrong();
    }

    private static void writeOdd(Odd odd, ReceivedRequest request, OutputStream out, int status)
            throws IOException {
        byte[] whole = bench.answer(request, status);
        String answer = new String(whole, StandardCharsets.US_ASCII);
        String start = odd.start.isEmpty() ? "HTTP/1.1 %d X\r\n" : odd.start;
        String changed = answer.replace("HTTP/1.1 %d X\r\n".formatted(status), start);
        if (odd == Odd.CHUNKS_WITH_LENGTH) {
            int end = changed.indexOf("\r\n\r\n") + 4;
            String body = changed.substring(end);
            String chunks = "%x\r\n%s\r\n0\r\n\r\n".formatted(body.length(), body);
            changed = changed.substring(0, end) + chunks;
        }
        String before = odd.before.formatted(request.header("X-Request-Id"));
        out.write(Http.toBytes(before + changed.replace("%d", Integer.toString(status))));
    }

    static Stream<Arguments> bodiless() {
        return Stream.of("204", "304", "205")
                .flatMap(
                        status ->
                                Stream.of("/safe/", "/once/", "/gen/")
                                        .flatMap(
                                                path ->
                                                        Stream.of(true, false)
                                                                .map(
                                                                        length ->
                                                                                Arguments.of(
                                                                                        path,
                                                                                        status,
                                                                                        length))));
    }

    /** Guards against a body that begins the next answer, behind a status that has none. */
    @ParameterizedTest(name = "{0}: {1}, with length: {2}")
    @MethodSource("bodiless")
    void bodyBehindABodilessStatusIsNoAnswer(String path, String status, boolean hasLength)
            throws IOException {
        String length = hasLength ? "Content-Length: %d\r\n".formatted(CUT_SUCCESS.length()) : "";
        playBodyBehindHead(path, status, length + "\r\n", 500);
    }

    /** Guards against a body behind the head that answers a HEAD, and behind interim answers. */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 100 X\r\n\r\n", "HTTP/1.1 103 X\r\nLink: <x>\r\n\r\n"})
    void bodyBehindAnAnswerToHeadIsNoAnswer(String interim) throws IOException {
        String length = "Content-Length: %d\r\n\r\n".formatted(CUT_SUCCESS.length());
        bench.begin(
                (request, before, out) -> {
                    if (before != null || !request.head().startsWith("HEAD")) {
                        out.write(bench.answer(request, 500));
                        return true;
                    }
                    bench.recordGiven(request, 200, CUT_SUCCESS);
                    out.write(Http.toBytes(interim + head(request, "200") + length + CUT_SUCCESS));
                    return true;
                });
        String first = bench.newId();
        bench.send("/safe/first-head", first);
        String next = bench.newId();
        bench.send("/safe/next", next);
        bench.assertNoneWrong();
    }

    private static void playBodyBehindHead(String path, String status, String end, int nextStatus)
            throws IOException {
        bench.begin(
                (request, before, out) -> {
                    if (request.head().contains("first")) {
                        bench.recordGiven(request, Integer.parseInt(status), "");
                        bench.recordGiven(request, Integer.parseInt(status), CUT_SUCCESS);
                        out.write(Http.toBytes(head(request, status) + end + CUT_SUCCESS));
                        return true;
                    }
                    out.write(bench.answer(request, nextStatus));
                    return true;
                });
        sendTwo(path);
        bench.assertNoneWrong();
    }

    private static String head(ReceivedRequest request, String status) {
        String id = request.header("X-Request-Id");
        return "HTTP/1.1 %s X\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\n"
                .formatted(status, id);
    }

    /** Guards against an answer of the edge to HEAD that has a body. */
    @ParameterizedTest
    @ValueSource(strings = {"/none/head", "/safe-brief/head", "/safe/broken-head"})
    void answerOfTheEdgeToHeadHasNoBody(String path) throws IOException {
        bench.begin(
                (request, before, out) -> {
                    Http.sleep(path.startsWith("/safe-brief") ? 600 : 0);
                    return false;
                });
        bench.send(path, bench.newId());
        bench.assertNoneWrong();
    }

    private static void sendTwo(String path) throws IOException {
        String first = bench.newId();
        bench.send(path + "first-" + first, first);
        Http.sleep(AnswerBench.READ_MILLIS);
        String next = bench.newId();
        bench.send(path + "next-" + next, next);
    }
}
