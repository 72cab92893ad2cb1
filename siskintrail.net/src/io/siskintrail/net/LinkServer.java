package io.siskintrail.net;

import io.siskintrail.service.Addresses;
import io.siskintrail.service.Service;

/** Accepts links from other processes. */
public final class LinkServer implements Service {
    private final TcpServer server;

    /** Prepares a server at the address that {@code self} names. */
    public LinkServer(EventLoop loop, Identity self, LinkListener listener) {
        server =
                new TcpServer(
                        loop, Addresses.of(self.host()), LinkHandler.accepted(self, listener));
    }

    /** Begins to listen, which {@link #awaitListening()} waits for. */
    @Override
    public void start() {
        server.listen();
    }

    /** Waits until the address is taken; not to be called on the event loop. */
    public void awaitListening() {
        server.awaitListening();
    }

    @Override
    public void stop() {
        server.close();
    }
}
