package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import io.siskintrail.testkit.EarlyEndpoint;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An endpoint that answers before it has read the body, and reads on later. */
@Timeout(60)
class EarlyAnswerTest {
    private final List<String> spoiled = new CopyOnWriteArrayList<>();
    @TempDir Path folder;
    private AnswerBench bench;
    private EarlyEndpoint endpoint;
    private volatile int firstAnswer;
    private volatile int nextAnswer;

    @BeforeEach
    void start() throws Exception {
        bench = new AnswerBench(folder);
        endpoint = new EarlyEndpoint(this::serve);
        bench.system().register("early", "app", endpoint.address(), "a");
        bench.system().callRegistry("DELETE", "/api/replicas/app-1", "");
        Http.sleep(500);
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        bench.close();
    }

    /** Guards against a request whose bytes stand where the rest of a body is due. */
    @ParameterizedTest(name = "{0}, {1} bytes, {2} then {3}")
    @CsvSource({
        "/safe/, 4000000, 500, 200",
        "/once/, 4000000, 500, 200",
        "/once/, 4000000, 200, 500",
        "/safe/, 5, 500, 200",
        "/once/, 5, 500, 200",
        "/once/, 5, 200, 500"
    })
    void earlyAnswerIsOnlyThatToItsRequest(
            String path, int bodyBytes, int firstStatus, int nextStatus) throws Exception {
        firstAnswer = firstStatus;
        nextAnswer = nextStatus;
        for (int i = 0; i < 5; i++) {
            String first = bench.newId();
            String next = bench.newId();
            String firstPath = path + "first-" + first;
            String request =
                    "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                                    .formatted(firstPath, first)
                            + "X-Request-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n"
                            + "Connection: close\r\nContent-Length: %d\r\n\r\n".formatted(bodyBytes)
                            + "b".repeat(bodyBytes);
            try (Socket client = bench.system().connect()) {
                client.getOutputStream().write(Http.toBytes(request));
                bench.receive(client.getInputStream(), firstPath, first);
            }
            bench.send(path + "next-" + next, next);
        }
        assertThat(endpoint.heads().size()).isAtLeast(10);
        assertThat(spoiled).isEmpty();
        bench.assertNoneWrong();
    }

    private boolean serve(int number, String head, Socket socket) throws IOException {
        boolean isFirst = head.contains("/first-");
        ReceivedRequest request = new ReceivedRequest(head, "");
        socket.getOutputStream().write(bench.answer(request, isFirst ? firstAnswer : nextAnswer));
        Http.sleep(isFirst ? 5 * AnswerBench.READ_MILLIS : 0);
        byte[] body = EarlyEndpoint.readBody(head, socket);
        String text = new String(body, StandardCharsets.US_ASCII);
        if (isFirst && !text.matches("b*")) {
            spoiled.add(text.replaceAll("b{9,}", "b..b"));
        }
        return true;
    }
}
