package io.siskintrail.bench.cost;

import io.siskintrail.control.ControlService;
import io.siskintrail.control.ControlSettings;
import io.siskintrail.fake.FakeEngine;
import io.siskintrail.fake.FakeEngineSettings;
import io.siskintrail.lib.ModelId;
import io.siskintrail.router.RouterService;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Routers, one control replica in memory and fake engines in this process, over loopback. */
final class RealRouters implements AutoCloseable {
    static final String API_KEY = "control-cost-key";
    static final String MODEL = "audit";
    private static final String SHARED_KEY = "control-cost-shared";
    private static final String TOKEN = "control-cost-announce";
    private static final int TOKEN_MILLIS = 10;

    private final List<RouterService> routers = new ArrayList<>();
    private final List<FakeEngine> engines = new ArrayList<>();
    private ControlService control;

    /**
     * Starts the routers.
     *
     * @param count how many
     * @param engineCount how many engines announce to them
     * @param alone whether the routers know neither control nor each other nor an engine
     */
    RealRouters(int count, int engineCount, boolean alone) throws IOException {
        int controlPort = FreePorts.next();
        List<RouterSettings.Peer> peers = new ArrayList<>();
        List<ControlSettings.Peer> seeds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String address = FreePorts.address();
            peers.add(new RouterSettings.Peer("host-" + i, "local", address));
            seeds.add(new ControlSettings.Peer("host-" + i, "local", address));
        }
        if (!alone) {
            startControl(controlPort, seeds);
        }
        for (RouterSettings.Peer self : peers) {
            RouterService router = new RouterService(settings(self, peers, controlPort, alone));
            router.start();
            routers.add(router);
        }
        for (int i = 0; i < engineCount; i++) {
            FakeEngine engine = new FakeEngine(engineSettings(i, alone));
            engine.start();
            engines.add(engine);
        }
    }

    List<RouterService> routers() {
        return routers;
    }

    private void startControl(int port, List<ControlSettings.Peer> routerPeers) {
        control =
                new ControlService(
                        new ControlSettings(
                                "control-1",
                                "local",
                                "127.0.0.1:0",
                                "127.0.0.1:" + port,
                                SHARED_KEY,
                                "",
                                List.of(),
                                List.of(),
                                routerPeers,
                                List.of()));
        control.start();
    }

    private static RouterSettings settings(
            RouterSettings.Peer self, List<RouterSettings.Peer> all, int control, boolean alone) {
        List<RouterSettings.Peer> others = all.stream().filter(p -> !p.equals(self)).toList();
        return new RouterSettings(
                self.host(),
                self.domain(),
                "127.0.0.1:0",
                self.peerAddress(),
                SHARED_KEY,
                TOKEN,
                alone ? List.of() : others,
                alone
                        ? List.of()
                        : List.of(
                                new RouterSettings.Peer(
                                        "control-1", "local", "127.0.0.1:" + control)),
                List.of(new RouterSettings.Account("hekla", ApiKeys.hashOf(API_KEY))),
                null);
    }

    private FakeEngineSettings engineSettings(int number, boolean alone) {
        int home = number % routers.size();
        return new FakeEngineSettings(
                "engine-" + number,
                "local",
                "127.0.0.1:0",
                List.of(new ModelId(MODEL, "", "v1")),
                16,
                TOKEN_MILLIS,
                TOKEN_MILLIS,
                true,
                alone ? List.of() : List.of(routers.get(home).httpAddress()),
                TOKEN);
    }

    @Override
    public void close() {
        engines.forEach(FakeEngine::stop);
        routers.forEach(RouterService::abort);
        if (control != null) {
            control.stop();
        }
    }
}
