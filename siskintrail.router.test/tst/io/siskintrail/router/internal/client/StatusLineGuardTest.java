package io.siskintrail.router.internal.client;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that reach the guard in one piece and octet by octet. */
class StatusLineGuardTest {
    private static final String FIELDS = "Content-Length: 5\r\n\r\nwhole";

    /** Guards against a valid response that does not reach the decoder as it came. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.0 200 OK\r\n",
                "HTTP/1.1 599\r\n",
                "HTTP/1.1 200\n",
                "\r\n\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 103 X\r\nLink: <x>\r\n\r\nHTTP/1.1 102\n\nHTTP/1.1 200 OK\r\n"
            })
    void validResponsePasses(String start) {
        String response = start + FIELDS + "\r\n\r\nHTTP/1.1 000 behind the head";
        for (int octets : new int[] {1, response.length()}) {
            EmbeddedChannel channel = new EmbeddedChannel(new StatusLineGuard());

            assertThat(pass(channel, response, octets)).isNull();
            assertThat(passed(channel)).isEqualTo(response);
            assertThat(channel.isOpen()).isTrue();
        }
    }

    /** Guards against an invalid status that reaches the decoder with its line. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n",
                "HTTP/1.1 0\n",
                "HTTP/1.1 600 X\r\n",
                "HTTP/1.1 2000 X\r\n",
                "HTTP/1.1 +200 OK\r\n",
                "HTTP/1.1\r\n",
                "HTTP/2.0 200 OK\r\n",
                "ICY 200 OK\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 X\r\n"
            })
    void invalidStatusFailsTheRequest(String start) {
        String response = start + FIELDS;
        for (int octets : new int[] {1, response.length()}) {
            EmbeddedChannel channel = new EmbeddedChannel(new StatusLineGuard());

            assertThat(pass(channel, response, octets)).isInstanceOf(DecoderException.class);
            assertThat(passed(channel)).doesNotContain("Content-Length");
            assertThat(channel.isOpen()).isFalse();
        }
    }

    /** Writes pieces of so many octets until the request fails; returns why, null if it did not. */
    private static Throwable pass(EmbeddedChannel channel, String response, int octets) {
        Throwable failure = null;
        for (int i = 0; i < response.length() && failure == null; i += octets) {
            String piece = response.substring(i, Math.min(response.length(), i + octets));
            ByteBuf bytes = Unpooled.copiedBuffer(piece, StandardCharsets.US_ASCII);
            failure = channel.writeOneInbound(bytes).cause();
        }
        return failure;
    }

    /** Returns what the decoder would have got. */
    private static String passed(EmbeddedChannel channel) {
        StringBuilder passed = new StringBuilder();
        ByteBuf next = channel.readInbound();
        while (next != null) {
            passed.append(next.toString(StandardCharsets.US_ASCII));
            next.release();
            next = channel.readInbound();
        }
        return passed.toString();
    }
}
