package io.siskintrail.edge.internal;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Reads requests and writes answers, and takes no request whose end two readers could see
 * differently.
 */
final class StrictServerCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /** Takes request lines and headers of at most {@code maxHeaderBytes} each. */
    StrictServerCodec(int maxHeaderBytes) {
        super(new StrictDecoder(maxHeaderBytes), new HttpResponseEncoder());
    }

    private static final class StrictDecoder extends HttpRequestDecoder {
        StrictDecoder(int maxHeaderBytes) {
            super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both a length and chunks");
        }
    }
}
