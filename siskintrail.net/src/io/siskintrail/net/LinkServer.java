package io.siskintrail.net;

import io.siskintrail.service.Addresses;
import io.siskintrail.service.Service;

/** Server that accepts links from other processes. */
public final class LinkServer implements Service {
    private final TcpServer server;

    /** Creates a server for the address in {@code self}; {@link #start()} binds it. */
    public LinkServer(EventLoop loop, Identity self, LinkListener listener) {
        server =
                new TcpServer(
                        loop, Addresses.of(self.host()), LinkHandler.accepted(self, listener));
    }

    /** Starts to bind the address; {@link #awaitListening()} waits for the result. */
    @Override
    public void start() {
        server.listen();
    }

    /** Waits until the address is bound; must not be called on the event loop. */
    public void awaitListening() {
        server.awaitListening();
    }

    @Override
    public void stop() {
        server.close();
    }
}
