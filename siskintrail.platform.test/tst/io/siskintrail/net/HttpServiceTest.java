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
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
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
    private static final long SLOW_MILLIS = 200;

    private final EventLoop loop = new EventLoop("test");
    private final InetSocketAddress address =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    private final List<String> handled = new CopyOnWriteArrayList<>();
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

    /** Guards against an answer that a caller takes for that of an earlier call. */
    @Test
    void pipelinedCallsAreAnsweredInTheirOrder() throws IOException {
        String answers = exchange(call("/slow", "keep-alive") + call("/next", "close"));

        assertThat(answers).containsMatch("(?s)\r\n\r\n/slowHTTP/1.1 200 .*\r\n\r\n/next$");
        assertThat(service.openCalls()).isEqualTo(0);
    }

    /** Guards against a call that is carried out although its connection has been ended. */
    @Test
    void callBehindTheLastOneOfItsConnectionIsNotHandled() throws IOException {
        String answers = exchange(call("/slow", "close") + call("/next", "keep-alive"));

        assertThat(answers).endsWith("\r\n\r\n/slow");
        assertThat(handled).containsExactly("/slow");
    }

    /** Guards against a refusal that overtakes, and cuts off, the call before it. */
    @Test
    void refusalOfATooLargeCallComesBehindTheAnswerBeforeIt() throws IOException {
        String tooLarge = "PUT /large HTTP/1.1\r\nContent-Length: %d\r\n\r\n";

        String answers =
                exchange(call("/slow", "keep-alive") + tooLarge.formatted(2 * MAX_BODY_BYTES));

        assertThat(answers).containsMatch("(?s)^HTTP/1.1 200 .*\r\n\r\n/slowHTTP/1.1 413 ");
        assertThat(handled).containsExactly("/slow");
    }

    /** Guards against an answer that cannot be written and blocks those behind it. */
    @Test
    void callWhoseAnswerCannotBeWrittenIsAnswered() throws IOException {
        String answers = exchange(call("/odd", "keep-alive") + call("/next", "close"));

        assertThat(answers).startsWith("HTTP/1.1 500 ");
        assertThat(answers).endsWith("\r\n\r\n/next");
        assertThat(service.openCalls()).isEqualTo(0);
    }

    private void handle(Call call, Consumer<Answer> answer) {
        handled.add(call.target());
        if (call.target().equals("/fail")) {
            throw new IllegalStateException("the handler fails");
        }
        if (call.target().equals("/odd")) {
            answer.accept(new Answer(200, "two\nlines", new byte[0]));
            return;
        }
        Answer echo = new Answer(200, "", call.target().getBytes(StandardCharsets.US_ASCII));
        if (call.target().equals("/slow")) {
            loop.after(SLOW_MILLIS, () -> answer.accept(echo));
        } else {
            answer.accept(echo);
        }
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
