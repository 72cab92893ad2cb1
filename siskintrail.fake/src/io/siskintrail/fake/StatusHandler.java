package io.siskintrail.fake;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Answers routers that ask an endpoint whether it takes work; passes all else on. */
final class StatusHandler extends ChannelInboundHandlerAdapter {
    private static final String PATH = "/endpoint/status";

    private final Supplier<String> status;
    private final BooleanSupplier paused;

    StatusHandler(Supplier<String> status, BooleanSupplier paused) {
        this.status = status;
        this.paused = paused;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        boolean asked = message instanceof FullHttpRequest r && r.uri().equals(PATH);
        if (!asked) {
            ctx.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        if (!paused.getAsBoolean()) {
            HttpAnswers.json(ctx, HttpResponseStatus.OK, status.get());
        }
    }
}
