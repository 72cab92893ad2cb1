package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.siskintrail.internal.traffic.ClientLimits;
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

    /** Whether the request line was read and the end of the body was not. */
    private boolean inRequest;

    /**
     * Creates a decoder that limits the request line and the headers to {@link
     * ClientLimits#maxHeaderBytes()} each.
     *
     * @param limits returns the limits in force
     */
    StrictRequestDecoder(Supplier<ClientLimits> limits) {
        this(limits, limits.get().maxHeaderBytes());
    }

    private StrictRequestDecoder(Supplier<ClientLimits> limits, int maxHeaderBytes) {
        super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
        this.limits = limits;
        this.maxHeaderBytes = maxHeaderBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (inRequest || limits.get().maxHeaderBytes() == maxHeaderBytes) {
            super.channelRead(ctx, bytes);
            return;
        }
        // The successor takes the bytes that this decoder holds, then those just received.
        ctx.pipeline().replace(this, null, new StrictRequestDecoder(limits));
        ctx.fireChannelRead(bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        super.decode(ctx, in, out);
        if (!out.isEmpty()
                && out.get(out.size() - 1) instanceof LastHttpContent end
                && end.decoderResult().isSuccess()) {
            inRequest = false;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] requestLine) throws Exception {
        inRequest = true;
        return super.createMessage(requestLine);
    }

    @Override
    protected HttpMessage createInvalidMessage() {
        // What follows a malformed request is not decoded, by a successor neither.
        inRequest = true;
        return super.createInvalidMessage();
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both Content-Length and chunked Transfer-Encoding");
    }
}
