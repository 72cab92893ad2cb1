package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.testkit.EarlyEndpoint;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Answers whose connection is reset while the edge still writes the body of the request. The write
 * then meets the reset, and no read does.
 */
@Timeout(60)
class EarlyResetTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":9000,"targetLatencyMs":4000,"priority":1,"service":"app",
              "maxAttempts":1},
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":9000,"targetLatencyMs":4000,"priority":1,"service":"app","maxAttempts":1},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":9000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":700},
             {"name":"gen-once","host":"h.example","pathPrefix":"/gen-once/","kind":"streaming",
              "timeoutMs":9000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":false,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final String HEAD =
            "HTTP/1.1 %d X\r\nX-Request-Id: r1\r\nX-Replica-Signature: s\r\n";
    private static final String UNDELIMITED = "\r\n";
    private static final String DELIMITED = "Content-Length: 8000\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n1f40\r\n";

    /** More than the buffers of both ends hold. */
    private static final int REQUEST_BYTES = 4_000_000;

    private static final int ANSWER_BYTES = 8_000;
    private static final int EVENTS = 10;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final int UNTIL_RESET_MILLIS = 200;

    @TempDir Path folder;
    private LoopbackSystem system;

    @BeforeEach
    void start() throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    static Stream<Arguments> calls() {
        return Stream.of("/once/x", "/safe/x")
                .flatMap(
                        path ->
                                Stream.of(200, 404, 500)
                                        .flatMap(
                                                status ->
                                                        Stream.of(UNDELIMITED, DELIMITED, CHUNKED)
                                                                .map(
                                                                        end ->
                                                                                Arguments.of(
                                                                                        path,
                                                                                        status,
                                                                                        end))));
    }

    /** Guards against a part of an answer that is passed on as the whole one. */
    @ParameterizedTest
    @MethodSource("calls")
    void answerThatIsResetWhileTheRequestIsSentIsNotComplete(
            String path, int status, String framing) throws Exception {
        for (int bytes : new int[] {0, ANSWER_BYTES / 2}) {
            for (int millis : new int[] {0, 20, UNTIL_RESET_MILLIS}) {
                String answer = HEAD.formatted(status) + framing + "a".repeat(bytes);
                String response = sendCall(path, answer, millis);

                String shown = "%d bytes, reset after %d ms: %s".formatted(bytes, millis, response);
                assertWithMessage(shown).that(response).startsWith("HTTP/1.1 502");
                assertWithMessage(shown).that(response).doesNotContain("X-Replica-Signature");
            }
        }
    }

    private String sendCall(String path, String answer, int untilResetMillis) throws Exception {
        try (EarlyEndpoint app =
                new EarlyEndpoint(
                        (number, head, socket) -> {
                            EarlyEndpoint.write(socket, answer);
                            Http.sleep(untilResetMillis);
                            EarlyEndpoint.resetOnClose(socket);
                            return false;
                        })) {
            return sendTo("app", app, path);
        }
    }

    /** Guards against an early answer that is taken for one that was reset. */
    @ParameterizedTest
    @CsvSource({"/once/x, 200", "/safe/x, 200", "/once/x, 500", "/safe/x, 404"})
    void earlyAnswerThatEndsWithItsConnectionIsDelivered(String path, int status) throws Exception {
        String body = "a".repeat(ANSWER_BYTES);
        try (EarlyEndpoint app =
                new EarlyEndpoint(
                        (number, head, socket) -> {
                            EarlyEndpoint.write(
                                    socket, HEAD.formatted(status) + UNDELIMITED + body);
                            Http.sleep(UNTIL_RESET_MILLIS);
                            EarlyEndpoint.readBody(head, socket);
                            return false;
                        })) {
            String response = sendTo("app", app, path);

            assertThat(response).startsWith("HTTP/1.1 " + status);
            assertThat(response).endsWith("\r\n\r\n" + body);
        }
    }

    /** Guards against a stream that ends as complete where its engine was lost. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5})
    void streamThatIsResetWhileTheRequestIsSentIsResumed(int events) throws Exception {
        try (EarlyEndpoint engine =
                new EarlyEndpoint((number, head, socket) -> cutFirst(number, socket, events))) {
            String response = sendTo("llm", engine, "/gen/x");

            assertThat(engine.heads().size()).isAtLeast(2);
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(response).endsWith("\r\n0\r\n\r\n");
            assertThat(idsOf(response))
                    .isEqualTo(IntStream.rangeClosed(1, EVENTS).boxed().toList());
        }
    }

    /** Guards against a stream that cannot be resumed and ends as complete. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5})
    void streamThatCannotBeResumedIsBrokenOff(int events) throws Exception {
        try (EarlyEndpoint engine =
                new EarlyEndpoint((number, head, socket) -> cutFirst(number, socket, events))) {
            String response = sendTo("llm", engine, "/gen-once/x");

            assertThat(engine.heads()).hasSize(1);
            assertThat(response.endsWith("\r\n0\r\n\r\n")).isFalse();
            if (events == 0) {
                assertThat(response).startsWith("HTTP/1.1 502");
            }
        }
    }

    /** Writes a part of the first stream and resets it; goes on with the rest in another one. */
    private static boolean cutFirst(int number, Socket socket, int events) throws IOException {
        if (number == 1) {
            EarlyEndpoint.write(socket, HEAD.formatted(200) + UNDELIMITED + events(1, events));
            Http.sleep(UNTIL_RESET_MILLIS);
            EarlyEndpoint.resetOnClose(socket);
            return false;
        }
        EarlyEndpoint.write(socket, HEAD.formatted(200) + UNDELIMITED + events(events + 1, EVENTS));
        socket.getInputStream().readNBytes(REQUEST_BYTES);
        return false;
    }

    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(id -> "id: %d\ndata: t%d\n\n".formatted(id, id))
                .collect(Collectors.joining());
    }

    private static List<Integer> idsOf(String response) {
        return response.lines()
                .filter(line -> line.startsWith("id: "))
                .map(line -> Integer.parseInt(line.substring("id: ".length())))
                .toList();
    }

    private String sendTo(String service, EarlyEndpoint endpoint, String path) throws Exception {
        system.register("e1", service, endpoint.address(), "a");
        system.awaitReady(service.equals("app") ? "llm" : "app");
        String body = "b".repeat(REQUEST_BYTES);
        return system.sendRaw(Http.request("POST", path, "key-1", DEADLINE_MILLIS, body));
    }
}
