package io.siskintrail.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.MessageKind;

/** An open connection to another process. Used on the event loop. */
public final class Link {
    private static final int KIND_BYTES = 2;

    /** Bytes that may wait for a slow peer before messages to it are dropped. */
    private static final long MAX_WAITING_BYTES = 8L << 20;

    private final Channel channel;
    private final PeerRole role;
    private final HostId peer;
    private long heardAt;

    Link(Channel channel, PeerRole role, HostId peer) {
        this.channel = channel;
        this.role = role;
        this.peer = peer;
        this.heardAt = EventLoop.nowMillis();
    }

    /** Returns what the other process does. */
    public PeerRole role() {
        return role;
    }

    /** Returns the other host. */
    public HostId peer() {
        return peer;
    }

    /** Sends a message; returns false when the peer reads too slowly and it was dropped. */
    public boolean send(MessageKind kind, byte[] body) {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        if (waiting == null || waiting.totalPendingWriteBytes() > MAX_WAITING_BYTES) {
            return false;
        }
        ByteBuf frame = channel.alloc().buffer(KIND_BYTES + body.length);
        frame.writeShort(kind.number());
        frame.writeBytes(body);
        channel.writeAndFlush(frame);
        return true;
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    void heard(long nowMillis) {
        heardAt = nowMillis;
    }

    long heardAt() {
        return heardAt;
    }
}
