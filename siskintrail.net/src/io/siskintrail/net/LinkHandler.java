package io.siskintrail.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.Future;
import io.siskintrail.lib.HostId;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.MessageKind;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * One end of a link: introduces itself, hands messages over, and finds out whether the other end is
 * still there, because a connection can go silent without being closed. The end that dialed sends
 * probes, the other one answers them at once, so that what answers to all links of a process comes
 * in a few wake-ups.
 */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final System.Logger LOG = System.getLogger(LinkHandler.class.getName());
    private static final int MAX_FRAME_BYTES = 16 << 20;
    private static final int LENGTH_BYTES = 4;
    private static final byte[] PROBE = new byte[0];

    /** Time between two probes, in milliseconds; a few fit into {@link #SILENT_MILLIS}. */
    private static final long PROBE_MILLIS = 600;

    /** Silence after which a link is given up; below the time that any change may take. */
    private static final long SILENT_MILLIS = 1_500;

    /** Time in which the other end introduces itself, also while it starts on a busy host. */
    private static final long GREETING_MILLIS = 500;

    private final Identity self;
    private final LinkListener listener;
    private final boolean dialed;
    private Link link;
    private long openedAt;
    private Future<?> checks;

    private LinkHandler(Identity self, LinkListener listener, boolean dialed) {
        this.self = self;
        this.listener = listener;
        this.dialed = dialed;
    }

    /** Returns what sets a new channel up as the end of a link that dialed. */
    static ChannelInitializer<SocketChannel> dialed(Identity self, LinkListener listener) {
        return initializer(self, listener, true);
    }

    /** Returns what sets a new channel up as the end of a link that was dialed. */
    static ChannelInitializer<SocketChannel> accepted(Identity self, LinkListener listener) {
        return initializer(self, listener, false);
    }

    private static ChannelInitializer<SocketChannel> initializer(
            Identity self, LinkListener listener, boolean dialed) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new LinkHandler(self, listener, dialed));
            }
        };
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        byte[] name = self.host().value().getBytes(StandardCharsets.US_ASCII);
        ByteBuf frame = ctx.alloc().buffer();
        frame.writeShort(MessageKind.LINK.number());
        frame.writeByte(self.role().ordinal());
        frame.writeBytes(name);
        ctx.writeAndFlush(frame);
        openedAt = EventLoop.nowMillis();
        checkLater(ctx);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        MessageKind kind = MessageKind.of(frame.readShort());
        byte[] body = new byte[frame.readableBytes()];
        frame.readBytes(body);
        if (link == null) {
            greeted(ctx, kind, body);
            return;
        }
        link.heard(EventLoop.nowMillis());
        if (kind == MessageKind.LINK && !dialed) {
            link.send(MessageKind.LINK, PROBE);
        } else if (kind != null && kind != MessageKind.LINK) {
            deliver(kind, body);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (checks != null) {
            checks.cancel(false);
        }
        if (link != null) {
            listener.closed(link);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LogEvent.info(LOG, "link.broken")
                .with("peer", link == null ? ctx.channel().remoteAddress() : link.peer())
                .with("cause", cause)
                .write();
        ctx.close();
    }

    private void greeted(ChannelHandlerContext ctx, MessageKind kind, byte[] body) {
        PeerRole[] roles = PeerRole.values();
        if (kind != MessageKind.LINK || body.length < 2 || body[0] < 0 || body[0] >= roles.length) {
            ctx.close();
            return;
        }
        String name = new String(body, 1, body.length - 1, StandardCharsets.US_ASCII);
        link = new Link(ctx.channel(), roles[body[0]], new HostId(name));
        listener.opened(link);
    }

    private void deliver(MessageKind kind, byte[] body) {
        try {
            listener.received(link, kind, body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "link.message.damaged")
                    .with("peer", link.peer())
                    .with("kind", kind)
                    .with("cause", e.getMessage())
                    .write();
        }
    }

    /** Schedules the next check at a moment at which those of all links of the process come. */
    private void checkLater(ChannelHandlerContext ctx) {
        long pause = PROBE_MILLIS - Math.floorMod(EventLoop.nowMillis(), PROBE_MILLIS);
        checks = ctx.executor().schedule(() -> check(ctx), pause, TimeUnit.MILLISECONDS);
    }

    private void check(ChannelHandlerContext ctx) {
        long silent = EventLoop.nowMillis() - (link == null ? openedAt : link.heardAt());
        if (silent >= (link == null ? GREETING_MILLIS : SILENT_MILLIS)) {
            LogEvent.info(LOG, "link.silent")
                    .with("peer", link == null ? ctx.channel().remoteAddress() : link.peer())
                    .with("silent_ms", silent)
                    .write();
            ctx.close();
            return;
        }
        if (link != null && dialed) {
            link.send(MessageKind.LINK, PROBE);
        }
        checkLater(ctx);
    }
}
