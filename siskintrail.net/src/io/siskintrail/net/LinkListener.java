package io.siskintrail.net;

import io.siskintrail.wire.MessageKind;

/** Learns of links and their messages, on the event loop. */
public interface LinkListener {

    /** Takes note of a link on which both sides have introduced themselves. */
    void opened(Link link);

    /** Takes a message. */
    void received(Link link, MessageKind kind, byte[] body);

    /** Takes note of the end of a link. */
    void closed(Link link);
}
