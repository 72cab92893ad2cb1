package io.siskintrail.edge.internal;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** What an exchange sends after the end of its response reaches no client. */
class ClientResponseTest {
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseEncoder());
    private final ConnectionEnd end = new ConnectionEnd(() -> channel);
    private final ResponseWriter writer =
            new ResponseWriter(() -> channel, end, () -> false, () -> {});
    private final List<String> ended = new ArrayList<>();
    private final Logger logger = Logger.getLogger(ClientResponse.class.getName());
    private final ErrorLines errors = new ErrorLines();

    @BeforeEach
    void start() {
        logger.addHandler(errors);
    }

    @AfterEach
    void stop() {
        logger.removeHandler(errors);
        channel.finishAndReleaseAll();
    }

    /** How a response may end. */
    private enum Ending {
        RESPONSE(r -> r.sendResponse(500, new DefaultHttpHeaders(), new byte[] {'x'})),
        FAILURE(r -> r.sendFailure(new Failure(ResultCode.INTERNAL, "test"), 0)),
        CHUNKED(
                r -> {
                    r.startChunked(200, new DefaultHttpHeaders());
                    r.endChunked();
                }),
        CLIENT_GONE(ClientResponse::abandon);

        private final Consumer<ClientResponse> action;

        Ending(Consumer<ClientResponse> action) {
            this.action = action;
        }
    }

    /** What may be sent late. */
    private enum Late {
        RESPONSE(r -> r.sendResponse(200, new DefaultHttpHeaders(), new byte[] {'y'})),
        FAILURE(r -> r.sendFailure(new Failure(ResultCode.INTERNAL, "late"), 0)),
        HEAD(r -> r.startChunked(200, new DefaultHttpHeaders())),
        CHUNK(r -> r.sendChunk(new byte[] {'z'})),
        END(ClientResponse::endChunked),
        ABORT(ClientResponse::abort);

        private final Consumer<ClientResponse> action;

        Late(Consumer<ClientResponse> action) {
            this.action = action;
        }
    }

    static Stream<Arguments> endingsAndLateParts() {
        return Arrays.stream(Ending.values())
                .flatMap(
                        ending ->
                                Arrays.stream(Late.values())
                                        .map(late -> Arguments.of(ending, late)));
    }

    @ParameterizedTest
    @MethodSource("endingsAndLateParts")
    void whatComesLateReachesNeitherTheWireNorTheNextRequest(Ending ending, Late late) {
        ClientResponse first = responseTo("first");
        ending.action.accept(first);
        String sentBefore = takeSent();
        ClientResponse second = responseTo("second");

        late.action.accept(first);

        assertThat(takeSent()).isEmpty();
        assertThat(channel.isOpen()).isTrue();
        assertThat(second.isOpen()).isTrue();
        second.sendResponse(503, new DefaultHttpHeaders(), new byte[0]);
        assertThat(takeSent()).startsWith("HTTP/1.1 503");
        assertThat(ended)
                .containsExactlyElementsIn(
                        ending == Ending.CLIENT_GONE
                                ? List.of("second")
                                : List.of("first", "second"))
                .inOrder();
        assertThat(sentBefore.isEmpty()).isEqualTo(ending == Ending.CLIENT_GONE);
        assertThat(errors.lines).hasSize(1);
        assertThat(errors.lines.get(0)).startsWith("event=client.response.late request=- part=");
    }

    private ClientResponse responseTo(String name) {
        CallContext call =
                new CallContext("GET", "/" + name, new DefaultHttpHeaders(), new byte[0], 0);
        return new ClientResponse(call, writer, end, () -> ended.add(name));
    }

    /** Returns what was written to the socket since the last call. */
    private String takeSent() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return text.toString();
    }

    /** Collects the errors that are logged. */
    private static final class ErrorLines extends Handler {
        private final List<String> lines = new ArrayList<>();

        @Override
        public void publish(LogRecord line) {
            if (line.getLevel() == Level.SEVERE) {
                lines.add(line.getMessage());
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
