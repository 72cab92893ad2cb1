package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Second answers where requests follow each other closely, or repeat an ID. */
@Timeout(60)
class PipelinedAnswerTest {
    private static final String[] SECOND_ANSWERS = {
        "HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\nContent-Length: 6\r\n\r\n"
                + "second",
        "HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nX-Note: a",
        "HTTP/1.1 200",
        "HTTP/1.1 200 O",
        "\r\n"
    };

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

    /** Guards against answers that change places on the connection of a client. */
    @ParameterizedTest(name = "{0}, pause {1} ms")
    @CsvSource({"/safe/, 0", "/once/, 0", "/gen/, 0", "/safe/, 10", "/once/, 10", "/gen/, 10"})
    void pipelinedRequestsHaveTheirOwnAnswers(String path, long pauseMillis) throws Exception {
        for (String second : SECOND_ANSWERS) {
            bench.begin(
                    (request, before, out) -> answer(request, before, out, second, pauseMillis));
            String[] ids = {bench.newId(), bench.newId(), bench.newId(), bench.newId()};
            byte[] requests = {};
            for (int i = 0; i < ids.length; i++) {
                String close = i == ids.length - 1 ? "Connection: close\r\n" : "";
                byte[] request = AnswerBench.request(path(path, ids, i), ids[i], close);
                requests = Http.concat(requests, request);
            }
            try (Socket client = bench.system().connect()) {
                client.getOutputStream().write(requests);
                InputStream in = client.getInputStream();
                for (int i = 0; i < ids.length - 1; i++) {
                    WireAnswer answer = WireAnswer.read(in, path.equals("/safe/") ? "GET" : "POST");
                    bench.check(path(path, ids, i), ids[i], answer);
                }
                bench.receive(in, path(path, ids, ids.length - 1), ids[ids.length - 1]);
            }
            bench.nameWrong(second.replace("\r\n", "|"));
        }
        bench.assertNoneWrong();
    }

    private static String path(String prefix, String[] ids, int number) {
        return prefix + (number % 2 == 0 ? "fine-" : "failing-") + ids[number];
    }

    private static boolean answer(
            ReceivedRequest request,
            ReceivedRequest before,
            OutputStream out,
            String second,
            long pauseMillis)
            throws IOException {
        if (before != null) {
            out.write(Http.toBytes(second.formatted(before.header("X-Request-Id"))));
            out.flush();
            Http.sleep(pauseMillis);
        }
        out.write(bench.answer(request, request.head().contains("fine-") ? 200 : 500));
        return true;
    }

    /** Guards against a second answer to an ID that a client sends again, beside others. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/", "/once/", "/gen/"})
    void repeatedIdHasTheAnswerToItsOwnSending(String path) throws Exception {
        for (int others = 0; others < 4; others++) {
            String id = bench.newId();
            Set<OutputStream> carried = ConcurrentHashMap.newKeySet();
            bench.begin(
                    (request, before, out) -> {
                        boolean isDue = carried.contains(out);
                        if (id.equals(request.header("X-Request-Id"))) {
                            carried.add(out);
                        }
                        if (isDue) {
                            out.write(second(id));
                            out.flush();
                            Http.sleep(AnswerBench.READ_MILLIS);
                        }
                        out.write(bench.answer(request, 500));
                        return true;
                    });
            bench.send(path + id, id);
            for (int i = 0; i < others; i++) {
                String other = bench.newId();
                bench.send(path + other, other);
            }
            bench.send(path + id, id);
        }
        bench.assertNoneWrong();
    }

    /** Guards against the same where the ID comes through two edges. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/", "/once/", "/gen/"})
    void idSentThroughTwoEdgesHasTheAnswerToEachSending(String path) throws Exception {
        try (LoopbackEdge edge = bench.system().startEdge("edge-2")) {
            edge.awaitReady();
            String id = bench.newId();
            bench.begin(
                    (request, before, out) -> {
                        out.write(bench.answer(request, 500));
                        out.flush();
                        Http.sleep(AnswerBench.READ_MILLIS);
                        out.write(second(id));
                        return true;
                    });
            String request =
                    new String(
                            AnswerBench.request(path + id, id, "Connection: close\r\n"),
                            StandardCharsets.US_ASCII);
            for (int i = 0; i < 3; i++) {
                bench.send(path + id, id);
                assertThat(edge.sendRaw(request)).startsWith("HTTP/1.1 50");
            }
        }
        bench.assertNoneWrong();
    }

    /** Guards against the answers of an endpoint whose address another one has. */
    @ParameterizedTest
    @CsvSource({"/safe/, 0", "/once/, 0", "/safe/, 2", "/once/, 2", "/safe/, 3", "/once/, 3"})
    void answersOfTheOneBeforeAtAnAddressAreNoAnswers(String path, int second) throws Exception {
        String first = bench.newId();
        String again = "app-" + first;
        Set<String> expected = ConcurrentHashMap.newKeySet();
        bench.begin(
                (request, before, out) -> {
                    expected.add(request.header("X-Expect-Replica"));
                    out.write(bench.answer(request, 500));
                    out.flush();
                    if (first.equals(request.header("X-Request-Id"))) {
                        Http.sleep(AnswerBench.READ_MILLIS);
                        out.write(Http.toBytes(SECOND_ANSWERS[second].formatted(first)));
                    }
                    return true;
                });
        bench.send(path + first, first);
        bench.register(again);
        for (int i = 0; i < 10 || !expected.contains(again); i++) {
            Http.sleep(AnswerBench.READ_MILLIS);
            String next = bench.newId();
            bench.send(path + next, next);
        }
        bench.assertNoneWrong();
    }

    private static byte[] second(String id) {
        String body = AnswerBench.body("second", id, 200);
        return Http.toBytes(
                "HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\n".formatted(id)
                        + "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body));
    }
}
