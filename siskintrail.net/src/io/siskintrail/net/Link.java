package io.siskintrail.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.MessageKind;

/** An open connection to another process, whose role and host are known. Used on the event loop. */
public final class Link {
    private static final int KIND_BYTES = 2;

    /** Size up to which a copy costs less than a second buffer. */
    private static final int MAX_COPIED_BYTES = 4 << 10;

    /**
     * Size of the send buffer, 8 MiB; messages to a peer that reads too slowly are dropped beyond
     * it.
     */
    private static final long MAX_BUFFERED_BYTES = 8L << 20;

    private final Channel channel;
    private final PeerRole role;
    private final HostId peer;
    private long lastReceivedAt;

    Link(Channel channel, PeerRole role, HostId peer) {
        this.channel = channel;
        this.role = role;
        this.peer = peer;
        this.lastReceivedAt = EventLoop.nowMillis();
    }

    /** Returns the role of the other process. */
    public PeerRole role() {
        return role;
    }

    /** Returns the host of the other process. */
    public HostId peer() {
        return peer;
    }

    /**
     * Sends a message, whose bytes must not be changed afterwards; returns false when it was
     * dropped because the link is closed or the peer reads too slowly.
     */
    public boolean send(MessageKind kind, byte[] body) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        if (outbound == null || outbound.totalPendingWriteBytes() > MAX_BUFFERED_BYTES) {
            return false;
        }
        channel.writeAndFlush(frame(kind, body));
        return true;
    }

    /** Returns the bytes of a message; a large one is not copied, so that links can share it. */
    private ByteBuf frame(MessageKind kind, byte[] body) {
        if (body.length > MAX_COPIED_BYTES) {
            return Unpooled.wrappedBuffer(
                    Unpooled.copyShort(kind.number()), Unpooled.wrappedBuffer(body));
        }
        ByteBuf frame = channel.alloc().buffer(KIND_BYTES + body.length);
        frame.writeShort(kind.number());
        frame.writeBytes(body);
        return frame;
    }

    public void close() {
        channel.close();
    }

    void recordReceived(long nowMillis) {
        lastReceivedAt = nowMillis;
    }

    long lastReceivedAt() {
        return lastReceivedAt;
    }
}
