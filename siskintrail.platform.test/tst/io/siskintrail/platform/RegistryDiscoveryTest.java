package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.Identity;
import io.siskintrail.net.Link;
import io.siskintrail.net.LinkDialer;
import io.siskintrail.net.LinkListener;
import io.siskintrail.net.PeerRole;
import io.siskintrail.registry.RegistryService;
import io.siskintrail.registry.RegistrySettings;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** All registries learn of one that joins by a single seed, so that any leader can add it. */
class RegistryDiscoveryTest {
    private static final long TIMEOUT_SECONDS = 60;

    @TempDir Path folder;
    private final List<RegistryService> registries = new ArrayList<>();
    private final EventLoop loop = new EventLoop("test");
    private final int linkPort = FreePorts.next();
    private final int callPort = FreePorts.next();
    private final int metricsPort = FreePorts.next();

    @AfterEach
    void stop() {
        registries.forEach(RegistryService::stop);
        loop.stop();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void newRegistryBecomesKnownToAll(int queriedRegistry) throws Exception {
        List<String> founders = List.of(callAddress(1), callAddress(2), callAddress(3));
        for (int i = 1; i <= 3; i++) {
            start(i, founders, true);
        }
        start(4, List.of(callAddress(1)), false);

        assertThat(learnsOf(queriedRegistry, new HostId(ip(4) + ":" + linkPort))).isTrue();
    }

    private boolean learnsOf(int registry, HostId newRegistry) throws InterruptedException {
        CountDownLatch announced = new CountDownLatch(1);
        LinkDialer dialer =
                new LinkDialer(
                        loop,
                        new Identity(PeerRole.EDGE, new HostId("test-edge")),
                        new HostId(ip(registry) + ":" + linkPort),
                        new LinkListener() {
                            @Override
                            public void opened(Link link) {}

                            @Override
                            public void received(Link link, MessageKind kind, byte[] body) {
                                if (RegistryCodec.decode(body)
                                                instanceof RegistryMessage.Status status
                                        && status.registries().contains(newRegistry)) {
                                    announced.countDown();
                                }
                            }

                            @Override
                            public void closed(Link link) {}
                        });
        dialer.start();
        return announced.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void start(int number, List<String> seeds, boolean founding) {
        RegistryService registry =
                new RegistryService(
                        new RegistrySettings(
                                "core-" + number,
                                "d" + number,
                                ip(number),
                                callAddress(number),
                                linkPort,
                                metricsPort,
                                seeds,
                                founding,
                                folder.resolve("data-" + number).toString(),
                                1_000,
                                1),
                        new PlatformRegistryProtocol());
        registry.start();
        registries.add(registry);
    }

    private String callAddress(int number) {
        return ip(number) + ":" + callPort;
    }

    private static String ip(int number) {
        return "127.0.0." + number;
    }
}
