package io.siskintrail.edge.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Discards what is received, before any other handler sees it. */
final class DiscardingReader extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
    }
}
