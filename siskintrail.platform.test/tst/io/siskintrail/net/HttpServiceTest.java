package io.siskintrail.net;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.net.HttpService.Answer;
import io.siskintrail.net.HttpService.Call;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Each call that is read whole gets its answer. */
@Timeout(30)
class HttpServiceTest {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final EventLoop loop = new EventLoop("test");
    private final InetSocketAddress address =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    private HttpService service;

    @BeforeEach
    void start() {
        service = new HttpService(loop, address, MAX_BODY_BYTES, this::handle);
        loop.call(service::start);
        service.awaitListening();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** Guards against a handler that throws and leaves its caller without an answer. */
    @Test
    void callDuringWhichTheHandlerFailsIsAnswered() throws IOException {
        String answers = exchange(call("/fail", "keep-alive") + call("/next", "close"));

        assertThat(answers).startsWith("HTTP/1.1 500 ");
        assertThat(answers).endsWith("\r\n\r\n/next");
        assertThat(service.openCalls()).isEqualTo(0);
    }

    private void handle(Call call, Consumer<Answer> answer) {
        if (call.target().equals("/fail")) {
            throw new IllegalStateException("the handler fails");
        }
        answer.accept(new Answer(200, "", call.target().getBytes(StandardCharsets.US_ASCII)));
    }

    private static String call(String target, String connection) {
        return "GET %s HTTP/1.1\r\nConnection: %s\r\n\r\n".formatted(target, connection);
    }

    /** Sends {@code calls} at once and returns all that comes until the connection is closed. */
    private String exchange(String calls) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(calls.getBytes(StandardCharsets.US_ASCII));
            byte[] answers = socket.getInputStream().readAllBytes();
            return new String(answers, StandardCharsets.US_ASCII);
        }
    }
}
