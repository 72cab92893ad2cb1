package io.siskintrail.net;

import io.siskintrail.wire.MessageKind;

/** Receives the events of links. All methods are called on the event loop. */
public interface LinkListener {

    /** Called when the identity of the peer has been received on a new link. */
    void opened(Link link);

    /**
     * Called for each message of a known kind, except the identities and heartbeats of the link.
     */
    void received(Link link, MessageKind kind, byte[] body);

    /** Called when the connection of an opened link has ended. */
    void closed(Link link);
}
