package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

    private final List<String> heads = new CopyOnWriteArrayList<>();
    private final List<String> spoiled = new CopyOnWriteArrayList<>();
    @TempDir Path folder;
    private AnswerBench bench;
    private ServerSocket server;
    private volatile int firstAnswer;
    private volatile int nextAnswer;

    @BeforeEach
    void start() throws Exception {
        bench = new AnswerBench(folder);
        server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        Thread thread = new Thread(this::accept, "early-endpoint");
        thread.setDaemon(true);
        thread.start();
        String address = "127.0.0.1:" + server.getLocalPort();
        bench.system().register("early", "app", address, "a");
        bench.system().callRegistry("DELETE", "/api/replicas/app-1", "");
        Http.sleep(500);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
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
        assertThat(heads.size()).isAtLeast(10);
        assertThat(spoiled).isEmpty();
        bench.assertNoneWrong();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "early-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            String head = readHead(in);
            while (head != null) {
                heads.add(head);
                ReceivedRequest request = new ReceivedRequest(head, "");
                boolean isFirst = head.contains("/first-");
                byte[] answer = bench.answer(request, isFirst ? firstAnswer : nextAnswer);
                socket.getOutputStream().write(answer);
                Http.sleep(isFirst ? 5 * AnswerBench.READ_MILLIS : 0);
                String length = request.header("Content-Length");
                byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
                String text = new String(body, StandardCharsets.US_ASCII);
                if (isFirst && !text.matches("b*")) {
                    spoiled.add(text.replaceAll("b{9,}", "b..b"));
                }
                head = readHead(in);
            }
        } catch (IOException e) {
            // The edge closed the connection; the test checks the edge's response to its client.
            return;
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int octet = in.read();
        while (octet >= 0) {
            head.write(octet);
            if (octet == '\n' && head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.US_ASCII);
            }
            octet = in.read();
        }
        return null;
    }
}
