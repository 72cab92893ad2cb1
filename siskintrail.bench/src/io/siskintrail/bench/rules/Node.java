package io.siskintrail.bench.rules;

import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.wire.ThriftPeerTransport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Collection;
import java.util.concurrent.ThreadLocalRandom;

/** The address of one process, and its sockets and control thread while it runs. */
abstract class Node {
    static final String SHARED_KEY = "shared-key-of-the-bench";
    private static final int DOMAINS = 3;
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000; // Outgoing connections take ports above.

    private final HostInfo info;
    private final InetSocketAddress address;
    private ThriftPeerTransport sockets;
    private CuttableTransport transport;
    private ControlLoop loop;
    private boolean cut;

    Node(String name, int number) {
        address = freeAddress();
        info =
                new HostInfo(
                        new HostId(name + "-" + number),
                        new FailureDomain("d" + number % DOMAINS),
                        "127.0.0.1:" + address.getPort());
    }

    /** Returns an address that no outgoing connection takes while the process is down. */
    private static InetSocketAddress freeAddress() {
        for (int i = 0; i < LAST_PORT - FIRST_PORT; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            try (ServerSocket socket = new ServerSocket(port, 1, loopback)) {
                return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            } catch (IOException expected) {
                // Another process has the port.
            }
        }
        throw new IllegalStateException("no free port on loopback");
    }

    HostInfo info() {
        return info;
    }

    HostId id() {
        return info.id();
    }

    CuttableTransport transport() {
        return transport;
    }

    ControlLoop loop() {
        return loop;
    }

    /** Starts the process; it knows the addresses of {@code all}. */
    final void start(Collection<? extends Node> all) {
        sockets = new ThriftPeerTransport(id(), address, SHARED_KEY);
        for (Node node : all) {
            sockets.addPeer(node.id(), node.address);
        }
        transport = new CuttableTransport(sockets, cut);
        loop = new ControlLoop("bench-" + id());
        startService();
        sockets.start();
        runService();
    }

    final void stop() {
        stopService();
        sockets.close();
        loop.stop();
    }

    final void setCut(boolean value) {
        cut = value;
        transport.setCut(value);
    }

    final boolean isCut() {
        return cut;
    }

    /** Makes the services and registers their handlers. */
    abstract void startService();

    /** Starts the services, after the sockets. */
    abstract void runService();

    abstract void stopService();
}
