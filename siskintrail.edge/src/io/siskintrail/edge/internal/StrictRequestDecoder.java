package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.siskintrail.internal.traffic.configuration.ClientLimits;
import java.util.List;
import java.util.function.Supplier;

/**
 * Decodes requests. Rejects a request with both a Content-Length and chunked encoding, because two
 * parsers could disagree on where it ends (request smuggling).
 *
 * <p>Between two requests the decoder replaces itself when the limit of the headers has changed, so
 * that the newest one applies to each request from its head on.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final Supplier<ClientLimits> limits;
    private final int maxHeaderBytes;
    private final Runnable onStart;

    /** Whether a part of a request has come of which the rest is still to come. */
    private boolean inRequest;

    /**
     * Creates a decoder that limits the request line and the headers to {@link
     * ClientLimits#maxHeaderBytes()} each.
     *
     * @param limits returns the limits in force
     * @param onStart called with the first bytes of each request
     */
    StrictRequestDecoder(Supplier<ClientLimits> limits, Runnable onStart) {
        this(limits, limits.get().maxHeaderBytes(), onStart);
    }

    private StrictRequestDecoder(
            Supplier<ClientLimits> limits, int maxHeaderBytes, Runnable onStart) {
        super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
        this.limits = limits;
        this.maxHeaderBytes = maxHeaderBytes;
        this.onStart = onStart;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (inRequest || limits.get().maxHeaderBytes() == maxHeaderBytes) {
            super.channelRead(ctx, bytes);
            return;
        }
        // The successor takes the bytes that this decoder holds, then those just received.
        ctx.pipeline().replace(this, null, new StrictRequestDecoder(limits, onStart));
        ctx.fireChannelRead(bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (!inRequest && hasText(in)) {
            inRequest = true;
            onStart.run();
        }
        super.decode(ctx, in, out);
        // What follows a malformed request is not decoded, by a successor neither.
        if (!out.isEmpty()
                && out.get(out.size() - 1) instanceof LastHttpContent end
                && end.decoderResult().isSuccess()) {
            inRequest = false;
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
