package io.siskintrail.wire;

import io.siskintrail.lib.HostId;

/** Takes the messages of one kind. Called on a thread of the transport. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Takes one message.
     *
     * @param sender the host that sent it; authenticated by the shared key
     * @param body the encoded message
     */
    void receive(HostId sender, byte[] body);
}
