package io.siskintrail.bench.rules;

import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.ThriftPeerTransport;
import java.net.InetSocketAddress;
import java.util.Collection;

/** The address of one process, and its sockets and control thread while it runs. */
abstract class Node {
    static final String SHARED_KEY = "shared-key-of-the-bench";
    private static final int DOMAINS = 3;

    private final HostInfo info;
    private final InetSocketAddress address;
    private ThriftPeerTransport sockets;
    private CuttableTransport transport;
    private ControlLoop loop;
    private boolean cut;

    Node(String name, int number) {
        address = FreePorts.socketAddress();
        info =
                new HostInfo(
                        new HostId(name + "-" + number),
                        new FailureDomain("d" + number % DOMAINS),
                        "127.0.0.1:" + address.getPort());
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
