package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Late answers to requests that the edge or its client gave up. */
@Timeout(60)
class GivenUpAnswerTest {
    /** Longer than the timeout of brief routes. */
    private static final long LATE_MILLIS = 500;

    /** Long enough for the late answer to come first. */
    private static final long ANSWER_MILLIS = 150;

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

    /** Guards against the answer to a timed-out request as that to the next one. */
    @ParameterizedTest
    @CsvSource({"/safe-brief/, 0", "/once-brief/, 0", "/safe-brief/, 150", "/once-brief/, 150"})
    void answerBehindATimeoutMeetsNoOtherRequest(String path, long pauseMillis) throws IOException {
        String first = bench.newId();
        String next = bench.newId();
        bench.begin(lateFirst(first));

        WireAnswer timedOut = bench.send(path + first, first);
        Http.sleep(pauseMillis);
        WireAnswer answer = bench.send(path + next, next);

        assertThat(timedOut.status()).isEqualTo(504);
        assertThat(answer.status()).isEqualTo(500);
        bench.assertNoneWrong();
    }

    /** Guards against the same for a client that repeats a request, with or without its ID. */
    @ParameterizedTest
    @CsvSource({
        "/safe-brief/, true",
        "/once-brief/, true",
        "/safe-brief/, false",
        "/once-brief/, false"
    })
    void repetitionOnTheKeptConnectionHasItsOwnAnswer(String path, boolean sameId)
            throws IOException {
        String first = bench.newId();
        String next = sameId ? first : bench.newId();
        int[] received = new int[1];
        bench.begin(
                (request, before, out) -> {
                    received[0]++;
                    if (received[0] == 1) {
                        Http.sleep(LATE_MILLIS);
                        out.write(late(first, 200));
                        return true;
                    }
                    Http.sleep(ANSWER_MILLIS);
                    out.write(bench.answer(request, 500));
                    return true;
                });
        try (Socket client = bench.system().connect()) {
            client.getOutputStream().write(AnswerBench.request(path + first, first, ""));
            WireAnswer timedOut = WireAnswer.read(client.getInputStream(), "POST");
            client.getOutputStream()
                    .write(AnswerBench.request(path + first, next, "Connection: close\r\n"));
            WireAnswer answer = bench.receive(client.getInputStream(), path + first, next);

            assertThat(timedOut.status()).isEqualTo(504);
            assertThat(answer.status()).isEqualTo(500);
        }
        bench.assertNoneWrong();
    }

    /** Guards against the answer to a client that left as that to the next one. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/", "/once/", "/gen/"})
    void answerToAClientThatLeftMeetsNoOtherRequest(String path) throws IOException {
        for (int delay = 0; delay < 100; delay += 9) {
            String first = bench.newId();
            String next = bench.newId();
            int leaveMillis = delay;
            bench.begin(
                    (request, before, out) -> {
                        if (first.equals(request.header("X-Request-Id"))) {
                            Http.sleep(50);
                            out.write(late(first, 200));
                            return true;
                        }
                        Http.sleep(30);
                        out.write(bench.answer(request, 500));
                        return true;
                    });
            try (Socket client = bench.system().connect()) {
                client.getOutputStream().write(AnswerBench.request(path + first, first, ""));
                Http.sleep(leaveMillis);
            }
            assertThat(bench.send(path + next, next).status()).isAnyOf(500, 502, 504);
        }
        bench.assertNoneWrong();
    }

    /** Guards against the answer of a lost hedge, or of one that came second. */
    @ParameterizedTest
    @ValueSource(longs = {5, 30, 60, 120})
    void answerOfALostHedgeMeetsNoOtherRequest(long lateMillis) throws Exception {
        try (ScriptedEndpoint other = bench.newEndpoint()) {
            bench.system().register("app-2", "app", other.address(), "b");
            bench.system().callRegistry("GET", "/api/config", "");
            Http.sleep(500);
            int hedged = 0;
            for (int i = 0; i < 8; i++) {
                String first = bench.newId();
                String next = bench.newId();
                int[] received = new int[1];
                bench.begin(
                        (request, before, out) -> {
                            if (first.equals(request.header("X-Request-Id"))) {
                                return answerHedged(request, out, received, lateMillis);
                            }
                            out.write(bench.answer(request, 500));
                            return true;
                        });
                bench.send("/safe/" + first, first);
                hedged += received[0] - 1;
                bench.send("/safe/" + next, next);
            }
            assertThat(hedged).isAtLeast(1);
        } finally {
            bench.system().callRegistry("DELETE", "/api/replicas/app-2", "");
        }
        bench.assertNoneWrong();
    }

    /** Answers the hedge at once, and the first attempt late. */
    private static boolean answerHedged(
            ReceivedRequest request, OutputStream out, int[] received, long lateMillis)
            throws IOException {
        int number;
        synchronized (received) {
            received[0]++;
            number = received[0];
        }
        if (number == 1) {
            Http.sleep(100 + lateMillis);
            String id = request.header("X-Request-Id");
            bench.recordGiven(request, 200, AnswerBench.body("late", id, 200));
            out.write(late(id, 200));
            return true;
        }
        out.write(bench.answer(request, 200));
        return true;
    }

    private static AnswerBench.Script lateFirst(String first) {
        return (request, before, out) -> {
            if (first.equals(request.header("X-Request-Id"))) {
                Http.sleep(LATE_MILLIS);
                out.write(late(first, 200));
                return true;
            }
            Http.sleep(ANSWER_MILLIS);
            out.write(bench.answer(request, 500));
            return true;
        };
    }

    /** Returns an answer that comes too late to be one, and is not recorded. */
    private static byte[] late(String id, int status) {
        String body = AnswerBench.body("late", id, status);
        return Http.toBytes(
                "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n".formatted(status, id)
                        + "X-Replica-Signature: s\r\n"
                        + "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body));
    }
}
