package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/**
 * Decodes the responses of an endpoint. Whether a response has a body depends on the method of its
 * request, also behind interim responses. A response whose status is not three digits from 100 to
 * 599 is invalid.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private static final HttpDecoderConfig CONFIG =
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setMaxChunkSize(MAX_CHUNK_BYTES)
                    .setHeadersFactory(BoundedHeaders.FACTORY)
                    .setTrailersFactory(BoundedHeaders.FACTORY);

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private final BooleanSupplier headRequested;

    /**
     * Creates a decoder.
     *
     * @param headRequested returns whether the method of the current request is HEAD
     */
    EndpointResponseDecoder(BooleanSupplier headRequested) {
        super(CONFIG);
        this.headRequested = headRequested;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        String status = initialLine[1];
        if (!STATUS.matcher(status).matches()) {
            throw new IllegalArgumentException("invalid status: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequested.getAsBoolean() || super.isContentAlwaysEmpty(message);
    }
}
