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
import io.siskintrail.service.ThreadFaults;
import io.siskintrail.wire.MessageKind;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Netty handler of one end of a link: sends the identity of this process, delivers messages, and
 * checks that the other end is alive, because a connection can go silent without being closed. The
 * end that dialed sends heartbeats, and the other end answers them at once, so that the answers on
 * all links of a process arrive in a few wake-ups.
 */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final System.Logger LOG = System.getLogger(LinkHandler.class.getName());
    private static final int MAX_FRAME_BYTES = 16 << 20;
    private static final int LENGTH_BYTES = 4;
    private static final byte[] HEARTBEAT = new byte[0];

    /** Interval between heartbeats; a few fit into {@link #MAX_SILENCE_MILLIS}. */
    private static final long HEARTBEAT_INTERVAL_MILLIS = 600;

    /** Silence after which a link is closed; shorter than the time that any change may take. */
    private static final long MAX_SILENCE_MILLIS = 1_500;

    /** Timeout for the identity of the other end; covers a start on a busy host. */
    private static final long IDENTITY_TIMEOUT_MILLIS = 500;

    private final Identity self;
    private final LinkListener listener;
    private final boolean dialed;
    private Link link;
    private long openedAt;
    private Future<?> nextCheck;

    private LinkHandler(Identity self, LinkListener listener, boolean dialed) {
        this.self = self;
        this.listener = listener;
        this.dialed = dialed;
    }

    /** Returns an initializer for channels on the dialing end of a link. */
    static ChannelInitializer<SocketChannel> dialed(Identity self, LinkListener listener) {
        return initializer(self, listener, true);
    }

    /** Returns an initializer for channels on the accepting end of a link. */
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
        byte[] hostName = self.host().value().getBytes(StandardCharsets.US_ASCII);
        ByteBuf frame = ctx.alloc().buffer();
        frame.writeShort(MessageKind.LINK.number());
        frame.writeByte(self.role().ordinal());
        frame.writeBytes(hostName);
        ctx.writeAndFlush(frame);
        openedAt = EventLoop.nowMillis();
        scheduleCheck(ctx);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        MessageKind kind = MessageKind.of(frame.readShort());
        byte[] body = new byte[frame.readableBytes()];
        frame.readBytes(body);
        if (link == null) {
            readIdentity(ctx, kind, body);
            return;
        }
        link.recordReceived(EventLoop.nowMillis());
        if (kind == MessageKind.LINK && !dialed) {
            link.send(MessageKind.LINK, HEARTBEAT);
        } else if (kind != null && kind != MessageKind.LINK) {
            deliver(kind, body);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (nextCheck != null) {
            nextCheck.cancel(false);
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
        ThreadFaults.caught(cause);
        ctx.close();
    }

    private void readIdentity(ChannelHandlerContext ctx, MessageKind kind, byte[] body) {
        PeerRole[] roles = PeerRole.values();
        if (kind != MessageKind.LINK || body.length < 2 || body[0] < 0 || body[0] >= roles.length) {
            ctx.close();
            return;
        }
        String hostName = new String(body, 1, body.length - 1, StandardCharsets.US_ASCII);
        link = new Link(ctx.channel(), roles[body[0]], new HostId(hostName));
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

    /** Schedules the next check, aligned with those of all other links to save wake-ups. */
    private void scheduleCheck(ChannelHandlerContext ctx) {
        long delayMillis =
                HEARTBEAT_INTERVAL_MILLIS
                        - Math.floorMod(EventLoop.nowMillis(), HEARTBEAT_INTERVAL_MILLIS);
        nextCheck =
                ctx.executor()
                        .schedule(() -> checkSilence(ctx), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkSilence(ChannelHandlerContext ctx) {
        long silentMillis =
                EventLoop.nowMillis() - (link == null ? openedAt : link.lastReceivedAt());
        if (silentMillis >= (link == null ? IDENTITY_TIMEOUT_MILLIS : MAX_SILENCE_MILLIS)) {
            LogEvent.info(LOG, "link.silent")
                    .with("peer", link == null ? ctx.channel().remoteAddress() : link.peer())
                    .with("silent_ms", silentMillis)
                    .write();
            ctx.close();
            return;
        }
        if (link != null && dialed) {
            link.send(MessageKind.LINK, HEARTBEAT);
        }
        scheduleCheck(ctx);
    }
}
