package io.siskintrail.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A caller that sends bytes without end is cut off. */
class EndlessCallTest {
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Amount that cannot be reached unless the service reads on. */
    private static final long MAX_BYTES = 64L << 20;

    private final EventLoop loop = new EventLoop("test");
    private final InetSocketAddress address =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());

    /** What the caller repeats without end after a valid beginning. */
    enum Endless {
        REQUEST_LINE("PUT /", "x"),
        BLANK_LINES("", "\r\n"),
        HEADER("PUT / HTTP/1.1\r\nX-Long: ", "x"),
        HEADERS("PUT / HTTP/1.1\r\n", "X-More: x\r\n"),
        BODY("PUT / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n", "x"),
        CHUNKS(
                "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "400\r\n" + "x".repeat(1024) + "\r\n"),
        CHUNK_EXTENSION("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
        TRAILERS("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n");

        private final String beginning;
        private final String repeated;

        Endless(String beginning, String repeated) {
            this.beginning = beginning;
            this.repeated = repeated;
        }
    }

    @BeforeEach
    void start() {
        HttpService service =
                new HttpService(
                        loop,
                        address,
                        MAX_BODY_BYTES,
                        (call, answer) ->
                                answer.accept(new HttpService.Answer(200, "", new byte[0])));
        loop.call(service::start);
        service.awaitListening();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    @ParameterizedTest
    @EnumSource
    void connectionIsClosedWithinBounds(Endless endless) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            OutputStream out = socket.getOutputStream();
            out.write(endless.beginning.getBytes(StandardCharsets.US_ASCII));
            byte[] block = endless.repeated.repeat(100).getBytes(StandardCharsets.US_ASCII);

            IOException closed =
                    assertThrows(IOException.class, () -> writeUpTo(out, block, MAX_BYTES));

            assertThat(closed).isNotNull();
        }
    }

    /** Guards against a caller that repeats a call since the refusal was lost with a reset. */
    @Test
    void refusalOfATooLargeBodyIsReceived() throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String head = "PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n";
            socket.getOutputStream()
                    .write(head.formatted(2 * MAX_BODY_BYTES).getBytes(StandardCharsets.US_ASCII));

            byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 413".length());

            assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 413");
        }
    }

    private static void writeUpTo(OutputStream out, byte[] block, long maxBytes)
            throws IOException {
        for (long written = 0; written < maxBytes; written += block.length) {
            out.write(block);
        }
    }
}
