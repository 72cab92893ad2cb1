package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Whole answers whose status is outside 100 to 599 or not written with three digits. They are no
 * HTTP responses, so they promise nothing: the request may have run.
 */
@Timeout(60)
class StrangeStatusTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"app",
              "maxAttempts":3},
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":3},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":5000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":700},
             {"name":"gen-once","host":"h.example","pathPrefix":"/gen-once/","kind":"streaming",
              "timeoutMs":5000,"targetLatencyMs":4000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":false,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final List<String> STATUSES =
            List.of(
                    "000 Strange",
                    "000 OK",
                    "000",
                    "001 X",
                    "099 X",
                    "20 X",
                    "2000 X",
                    "600 X",
                    "999 X",
                    "+200 OK",
                    "+20 OK",
                    "-20 X",
                    "-200 OK",
                    "0200 OK",
                    "2e2 OK",
                    "0xc8 OK");

    private static final String HEADERS = "X-Request-Id: r1\r\nX-Replica-Signature: s\r\n";
    private static final String NOT_RUN = "X-Not-Executed: 1\r\n";
    private static final int EVENTS = 10;

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

    /** Ends of an answer, in each framing, that says that the request ran or that it did not. */
    static Stream<Arguments> ends() {
        return Stream.of(HEADERS, HEADERS + NOT_RUN)
                .flatMap(
                        headers ->
                                Stream.of(
                                                "Content-Length: 5\r\n\r\nwhole",
                                                "Transfer-Encoding: chunked\r\n\r\n"
                                                        + "5\r\nwhole\r\n0\r\n\r\n",
                                                "\r\nwhole")
                                        .map(end -> Arguments.of(headers + end)));
    }

    /** Guards against an answer without a valid status that reaches the client, or a promise. */
    @ParameterizedTest
    @MethodSource("ends")
    void answerWithAStrangeStatusIsABrokenOne(String end) throws Exception {
        AtomicReference<String> status = new AtomicReference<>();
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) ->
                                write(out, "HTTP/1.1 " + status.get() + "\r\n" + end))) {
            system.register("e1", "app", app.address(), "a");
            system.awaitReady("llm");
            for (String strange : STATUSES) {
                status.set(strange);
                int before = app.requests().size();

                String response = send("/once/x");

                String shown = "%s: %s".formatted(strange, response);
                assertWithMessage(shown).that(response).startsWith("HTTP/1.1 502");
                assertWithMessage(shown).that(response).doesNotContain("whole");
                assertWithMessage(shown).that(response).doesNotContain("X-Replica-Signature");
                assertWithMessage(shown).that(app.requests()).hasSize(before + 1);
            }
        }
    }

    /** Guards against an idempotent call that is not sent to a sound endpoint. */
    @Test
    void idempotentCallGoesToAnotherEndpoint() throws Exception {
        for (String strange : STATUSES) {
            String answer = "HTTP/1.1 " + strange + "\r\n" + HEADERS + "Content-Length: 1\r\n\r\n?";
            AtomicInteger requests = new AtomicInteger();
            ScriptedEndpoint.Script script =
                    (number, request, out) ->
                            write(
                                    out,
                                    requests.incrementAndGet() == 1 ? answer : soundCall(request));
            try (ScriptedEndpoint one = new ScriptedEndpoint(script);
                    ScriptedEndpoint other = new ScriptedEndpoint(script)) {
                system.register("e1", "app", one.address(), "a");
                system.register("e2", "app", other.address(), "a");
                system.awaitReady("llm");

                String response = send("/safe/x");

                assertWithMessage(strange).that(response).startsWith("HTTP/1.1 200");
                assertWithMessage(strange).that(response).endsWith("\r\n\r\nsound");
                assertWithMessage(strange).that(requests.get()).isEqualTo(2);
            }
        }
    }

    /** Guards against a stream that a strange status starts, fails or ends. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void streamGoesOnBehindAStrangeStatus(int strangeAttempt) throws Exception {
        for (String strange : STATUSES) {
            try (ScriptedEndpoint engine =
                    new ScriptedEndpoint(
                            (number, request, out) ->
                                    writeStream(
                                            out,
                                            request,
                                            number == strangeAttempt ? strange : "200 OK",
                                            number == 1 && strangeAttempt == 2))) {
                system.register("e1", "llm", engine.address(), "a");
                system.awaitReady("app");

                String response = send("/gen/x");

                assertWithMessage(strange).that(response).startsWith("HTTP/1.1 200");
                assertWithMessage(strange).that(response).endsWith("\r\n0\r\n\r\n");
                assertWithMessage(strange)
                        .that(idsOf(response))
                        .isEqualTo(IntStream.rangeClosed(1, EVENTS).boxed().toList());
            }
        }
    }

    /** Writes the rest of the stream that the request asks for; only two events if {@code cut}. */
    private static boolean writeStream(
            OutputStream out, ReceivedRequest request, String status, boolean cut)
            throws IOException {
        String last = request.header("Last-Event-Id");
        int next = last == null ? 1 : Integer.parseInt(last) + 1;
        String end = cut ? "" : "0\r\n\r\n";
        return write(out, streamHead(status) + events(next, cut ? 2 : EVENTS) + end);
    }

    /** Guards against a stream with a strange status that ends as complete. */
    @Test
    void streamThatCannotBeResumedFails() throws Exception {
        AtomicReference<String> status = new AtomicReference<>();
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        (number, request, out) -> writeStream(out, request, status.get(), false))) {
            system.register("e1", "llm", engine.address(), "a");
            system.awaitReady("app");
            for (String strange : STATUSES) {
                status.set(strange);
                int before = engine.requests().size();

                String response = send("/gen-once/x");

                assertWithMessage(strange).that(response).startsWith("HTTP/1.1 502");
                assertWithMessage(strange).that(engine.requests()).hasSize(before + 1);
            }
        }
    }

    /** Guards against a strange answer that is skipped as an interim one. */
    @ParameterizedTest
    @ValueSource(strings = {"000 X", "099 X", "20 X", "1000 X", "-100 X", "+100 X", "0100 X"})
    void strangeInterimResponseIsABrokenAnswer(String status) throws Exception {
        String interim = "HTTP/1.1 " + status + "\r\n\r\n";
        assertThat(sendBehind(interim)).startsWith("HTTP/1.1 502");
    }

    /** Guards against a valid interim status that counts as strange. */
    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 X", "103 X", "199 X"})
    void answerBehindAnInterimResponseIsDelivered(String status) throws Exception {
        assertThat(sendBehind("HTTP/1.1 " + status + "\r\n\r\n")).endsWith("\r\n\r\nsound");
    }

    /** Guards against a valid status that counts as strange. */
    @ParameterizedTest
    @ValueSource(strings = {"200", "201 Created", "299 X", "399 X", "418 X", "499 X", "599 X"})
    void answerWithAValidStatusIsDelivered(String status) throws Exception {
        String answer = "HTTP/1.1 " + status + "\r\n" + HEADERS + "Content-Length: 5\r\n\r\nwhole";
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> write(out, answer))) {
            system.register("e1", "app", app.address(), "a");
            system.awaitReady("llm");

            String response = send("/once/x");

            assertThat(response).startsWith("HTTP/1.1 " + status.substring(0, 3));
            assertThat(response).endsWith("\r\n\r\nwhole");
        }
    }

    /** Guards against the status of a cut answer that hides the strange one of a second answer. */
    @ParameterizedTest
    @ValueSource(strings = {"000 X", "099 X", "20 X", "2000 X", "600 X", "+200 X", "000"})
    void strangeAnswerBehindACutHeadIsABrokenAnswer(String status) throws Exception {
        String cut = "HTTP/1.1 200 OK\r\nX-Note: a";
        String strange = "HTTP/1.1 " + status + "\r\n" + HEADERS + "Content-Length: 5\r\n\r\nwhole";
        try (ScriptedEndpoint app =
                new ScriptedEndpoint((number, request, out) -> write(out, cut + strange))) {
            system.register("e1", "app", app.address(), "a");
            system.awaitReady("llm");

            assertThat(send("/once/x")).startsWith("HTTP/1.1 502");
        }
    }

    private String sendBehind(String interim) throws Exception {
        try (ScriptedEndpoint app =
                new ScriptedEndpoint(
                        (number, request, out) -> write(out, interim + soundCall(request)))) {
            system.register("e1", "app", app.address(), "a");
            system.awaitReady("llm");
            return send("/once/x");
        }
    }

    private String send(String path) throws IOException {
        return system.sendRaw(Http.request("POST", path, "key-1", "p"));
    }

    private static String soundCall(ReceivedRequest request) {
        byte[] answer = ScriptedEndpoint.signedResponse(request, 200, "", "sound");
        return new String(answer, StandardCharsets.US_ASCII);
    }

    private static String streamHead(String status) {
        return "HTTP/1.1 " + status + "\r\n" + HEADERS + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String events(int first, int last) {
        StringBuilder chunks = new StringBuilder();
        for (int id = first; id <= last; id++) {
            String event = "id: %d\ndata: t%d\n\n".formatted(id, id);
            chunks.append("%x\r\n%s\r\n".formatted(event.length(), event));
        }
        return chunks.toString();
    }

    private static List<Integer> idsOf(String response) {
        return response.lines()
                .filter(line -> line.startsWith("id: "))
                .map(line -> Integer.parseInt(line.substring("id: ".length())))
                .toList();
    }

    private static boolean write(OutputStream out, String text) throws IOException {
        out.write(Http.toBytes(text));
        out.flush();
        return false;
    }
}
