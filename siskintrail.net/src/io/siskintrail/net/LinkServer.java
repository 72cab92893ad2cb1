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

    @Override
    public void start() {
        server.start();
    }

    @Override
    public void stop() {
        server.stop();
    }
}
