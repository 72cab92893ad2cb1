package io.siskintrail.edge.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.siskintrail.internal.traffic.configuration.ClientLimits;
import java.util.function.Supplier;

/**
 * Collects requests whole. Writes nothing while another request of the connection is processed: a
 * request whose body is too large is passed on as unreadable, so that it is answered in its turn.
 *
 * <p>At the head of a request the aggregator replaces itself when the limit of bodies has changed,
 * so that the newest one applies to each request.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final Supplier<ClientLimits> limits;
    private final ClientConnection connection;

    /**
     * Creates an aggregator that limits bodies to {@link ClientLimits#maxBodyBytes()}.
     *
     * @param limits returns the limits in force
     */
    RequestAggregator(Supplier<ClientLimits> limits, ClientConnection connection) {
        super(limits.get().maxBodyBytes(), true);
        this.limits = limits;
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        boolean changed = limits.get().maxBodyBytes() != maxContentLength();
        if (changed && message instanceof HttpRequest) {
            ctx.pipeline().replace(this, null, new RequestAggregator(limits, connection));
            ctx.fireChannelRead(message);
            return;
        }
        super.channelRead(ctx, message);
    }

    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        return connection.isAnswering()
                ? null
                : super.newContinueResponse(start, maxContentLength, pipeline);
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
