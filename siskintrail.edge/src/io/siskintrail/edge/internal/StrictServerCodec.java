package io.siskintrail.edge.internal;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Decodes requests and encodes responses. Rejects a request with both a Content-Length and chunked
 * encoding, because two parsers could disagree on where it ends (request smuggling).
 */
final class StrictServerCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /**
     * Creates a codec that limits the request line and the headers to {@code maxHeaderBytes} each.
     */
    StrictServerCodec(int maxHeaderBytes) {
        super(new StrictDecoder(maxHeaderBytes), new HttpResponseEncoder());
    }

    private static final class StrictDecoder extends HttpRequestDecoder {
        StrictDecoder(int maxHeaderBytes) {
            super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException(
                    "request has both Content-Length and chunked Transfer-Encoding");
        }
    }
}
