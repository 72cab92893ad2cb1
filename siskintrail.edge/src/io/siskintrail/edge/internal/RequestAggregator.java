package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Collects requests whole. Writes nothing while another request of the connection is processed: a
 * request whose body is too large is passed on as unreadable, so that it is answered in its turn.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final ClientConnection connection;

    RequestAggregator(int maxBodyBytes, ClientConnection connection) {
        super(maxBodyBytes, true);
        this.connection = connection;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content)
            throws Exception {
        connection.expectRequest();
        return super.beginAggregation(start, content);
    }

    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        return connection.isIdle()
                ? super.newContinueResponse(start, maxContentLength, pipeline)
                : null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        HttpRequest head = (HttpRequest) oversized;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri());
        HttpUtil.setKeepAlive(request, HttpUtil.isKeepAlive(head));
        request.setDecoderResult(
                DecoderResult.failure(new TooLongHttpContentException("body is too large")));
        ctx.fireChannelRead(request);
    }
}
