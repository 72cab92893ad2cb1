package io.siskintrail.fake;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Sends whole JSON answers and resets connections. */
final class HttpAnswers {
    private static final int MISSING_BYTES = 100;

    private HttpAnswers() {}

    static void json(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
        send(ctx, status, body, 0).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Sends {@code body} as the beginning of a longer one and closes the connection. */
    static void cut(ChannelHandlerContext ctx, String body) {
        send(ctx, HttpResponseStatus.OK, body, MISSING_BYTES)
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static ChannelFuture send(
            ChannelHandlerContext ctx, HttpResponseStatus status, String body, int missing) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(response, response.content().readableBytes() + missing);
        return ctx.writeAndFlush(response);
    }

    static void reset(ChannelHandlerContext ctx) {
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.close();
    }
}
