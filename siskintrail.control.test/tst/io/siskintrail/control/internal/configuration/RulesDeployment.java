package io.siskintrail.control.internal.configuration;

import io.siskintrail.internal.control.ControlState;
import io.siskintrail.internal.control.FollowerSettings;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.router.internal.rules.RulesFollower;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.control.LocalControlClient;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** One control replica and several routers over real sockets on loopback. */
final class RulesDeployment implements AutoCloseable {
    private static final String KEY = "shared-key-of-the-test";
    private static final HostId CONTROL = new HostId("control-1");
    private static final long WAIT_MILLIS = 20_000;

    private final Map<HostId, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<HostId, ThriftPeerTransport> transports = new LinkedHashMap<>();
    private final Map<HostId, RulesFollower> routers = new LinkedHashMap<>();
    private final List<ControlLoop> loops = new ArrayList<>();
    private final ConfigurationService control;
    private volatile boolean leading = true;

    RulesDeployment(int routerCount) {
        addresses.put(CONTROL, FreePorts.socketAddress());
        List<HostInfo> hosts = new ArrayList<>();
        for (int i = 1; i <= routerCount; i++) {
            HostId id = new HostId("router-" + i);
            InetSocketAddress address = FreePorts.socketAddress();
            addresses.put(id, address);
            hosts.add(
                    new HostInfo(id, new FailureDomain("d" + i), "127.0.0.1:" + address.getPort()));
        }
        ThriftPeerTransport transport = transport(CONTROL);
        control =
                new ConfigurationService(
                        new LocalControlClient<>(
                                new ControlState(),
                                new ControlStateCodec(),
                                System::currentTimeMillis),
                        transport,
                        loop(),
                        this::lease,
                        hosts);
        transport.start();
        control.start();
        hosts.forEach(h -> startRouter(h.id()));
    }

    private LeaderLease lease() {
        return leading ? new LeaderLease(ControlLoop.nowMillis() + 500, 0) : LeaderLease.NONE;
    }

    void lead(boolean now) {
        leading = now;
    }

    void startRouter(HostId id) {
        ThriftPeerTransport transport = transport(id);
        RulesFollower follower =
                new RulesFollower(
                        FollowerSettings.of(id, List.of(CONTROL), System.nanoTime()),
                        transport,
                        loop());
        transport.start();
        follower.start();
        routers.put(id, follower);
    }

    void stopRouter(HostId id) {
        routers.get(id).stop();
        transports.remove(id).close();
    }

    private ThriftPeerTransport transport(HostId self) {
        ThriftPeerTransport transport = new ThriftPeerTransport(self, addresses.get(self), KEY);
        addresses.forEach(transport::addPeer);
        transports.put(self, transport);
        return transport;
    }

    private ControlLoop loop() {
        ControlLoop loop = new ControlLoop("test-control");
        loops.add(loop);
        return loop;
    }

    ConfigurationService control() {
        return control;
    }

    RulesFollower router(int number) {
        return routers.get(new HostId("router-" + number));
    }

    /** Waits until a condition holds; returns false when it does not in time. */
    static boolean eventually(BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        routers.values().forEach(RulesFollower::stop);
        control.stop();
        loops.forEach(ControlLoop::stop);
        transports.values().forEach(ThriftPeerTransport::close);
    }
}
