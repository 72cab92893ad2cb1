package io.siskintrail.wire;

import io.siskintrail.lib.HostId;

/**
 * Sends messages to the processes of other hosts. Delivery is best effort: a message can be lost,
 * repeated or overtaken, and the subsystems above are written for that.
 */
public interface PeerTransport {

    /** Queues a message for {@code to}; drops it when the host is unknown or its queue is full. */
    void send(HostId to, MessageKind kind, byte[] body);

    /** Registers the only handler of {@code kind}; to be called before the transport starts. */
    void handle(MessageKind kind, PeerHandler handler);
}
