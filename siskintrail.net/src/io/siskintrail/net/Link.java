package io.siskintrail.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.MessageKind;

/** An open connection to another process, whose role and host are known. Used on the event loop. */
public final class Link {
    private static final int KIND_BYTES = 2;

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
     * Sends a message; returns false when it was dropped because the link is closed or the peer
     * reads too slowly.
     */
    public boolean send(MessageKind kind, byte[] body) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        if (outbound == null || outbound.totalPendingWriteBytes() > MAX_BUFFERED_BYTES) {
            return false;
        }
        ByteBuf frame = channel.alloc().buffer(KIND_BYTES + body.length);
        frame.writeShort(kind.number());
        frame.writeBytes(body);
        channel.writeAndFlush(frame);
        return true;
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
