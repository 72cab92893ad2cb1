package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests and encodes responses. Rejects a request with both a Content-Length and chunked
 * encoding, because two parsers could disagree on where it ends (request smuggling).
 */
final class StrictServerCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /**
     * Creates a codec that limits the request line and the headers to {@code maxHeaderBytes} each.
     *
     * @param onStart called with the first bytes of each request
     */
    StrictServerCodec(int maxHeaderBytes, Runnable onStart) {
        super(new StrictDecoder(maxHeaderBytes, onStart), new HttpResponseEncoder());
    }

    private static final class StrictDecoder extends HttpRequestDecoder {
        private final Runnable onStart;

        /** Whether a part of a request has come of which the rest is still to come. */
        private boolean started;

        StrictDecoder(int maxHeaderBytes, Runnable onStart) {
            super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
            this.onStart = onStart;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out)
                throws Exception {
            if (!started && hasText(bytes)) {
                started = true;
                onStart.run();
            }
            super.decode(ctx, bytes, out);
            if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
                started = false;
            }
        }

        /** Returns whether there is more than the blanks that may stand before a request. */
        private static boolean hasText(ByteBuf bytes) {
            return bytes.forEachByte(octet -> octet == ' ' || octet == '\r' || octet == '\n') >= 0;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException(
                    "request has both Content-Length and chunked Transfer-Encoding");
        }
    }
}
