package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.admission.WaitingRequest;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.Identity;
import io.siskintrail.net.Link;
import io.siskintrail.net.LinkDialer;
import io.siskintrail.net.LinkListener;
import io.siskintrail.net.PeerRole;
import io.siskintrail.registry.RegistryService;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A registry relays the loads that edges report to the other edges. */
class LoadRelayTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final long POLL_MILLIS = 10;
    private static final HostId REPORTER = new HostId("reporter");
    private static final RegistryMessage.HostLoads LOADS =
            new RegistryMessage.HostLoads(
                    REPORTER,
                    false,
                    List.of(new PlacedLoad(new EndpointId("e1"), 2, 500, 800)),
                    List.of());

    private static final RegistryMessage.HostLoads NEWER_LOADS =
            new RegistryMessage.HostLoads(
                    REPORTER,
                    false,
                    List.of(new PlacedLoad(new EndpointId("e1"), 3, 700, 900)),
                    List.of());

    private static final RegistryMessage.HostLoads WAITING =
            new RegistryMessage.HostLoads(
                    REPORTER,
                    false,
                    List.of(),
                    List.of(),
                    Optional.of(
                            List.of(
                                    new WaitingRequest(
                                            new ServiceName("llm"), 0, 7, 20, 900, 9_000, true))),
                    List.of());

    @TempDir Path folder;
    private final EventLoop loop = new EventLoop("test");
    private final int linkPort = FreePorts.next();
    private final int metricsPort = FreePorts.next();
    private RegistryService registry;

    /** Sends and receives loads on a link to the registry as an edge does. */
    private final class Edge implements LinkListener {
        private final BlockingQueue<RegistryMessage> receivedMessages = new LinkedBlockingQueue<>();
        private final BlockingQueue<Link> opened = new LinkedBlockingQueue<>();
        private final LinkDialer dialer;
        private Link link;

        Edge(HostId host) {
            Identity localIdentity = new Identity(PeerRole.EDGE, host);
            dialer = new LinkDialer(loop, localIdentity, new HostId("127.0.0.1:" + linkPort), this);
            dialer.start();
        }

        @Override
        public void opened(Link link) {
            opened.add(link);
        }

        @Override
        public void received(Link link, MessageKind kind, byte[] body) {
            receivedMessages.add(RegistryCodec.decode(body));
        }

        @Override
        public void closed(Link link) {}

        void awaitLinkAndSend(RegistryMessage.HostLoads loads) throws InterruptedException {
            link = opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            send(loads);
        }

        void send(RegistryMessage.HostLoads loads) {
            byte[] body = RegistryCodec.encode(new RegistryMessage.Loads(List.of(loads)));
            loop.execute(() -> link.send(MessageKind.REGISTRY, body));
        }

        RegistryMessage.HostLoads nextLoads() throws InterruptedException {
            while (true) {
                RegistryMessage message = receivedMessages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                if (message == null) {
                    return null;
                }
                if (message instanceof RegistryMessage.Loads loads) {
                    return loads.hosts().get(0);
                }
            }
        }
    }

    @BeforeEach
    void start() {
        registry = LoopbackRegistry.start(FreePorts.next(), linkPort, metricsPort, folder);
    }

    @AfterEach
    void stop() {
        registry.stop();
        loop.stop();
    }

    /** Guards against engines that appear full of streams which ended with their edge. */
    @Test
    void otherEdgesLearnThatAnEdgeIsGone() throws InterruptedException {
        Edge observer = new Edge(new HostId("observer"));
        Edge reporter = new Edge(REPORTER);
        assertThat(observer.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();

        reporter.awaitLinkAndSend(LOADS);
        assertThat(observer.nextLoads()).isEqualTo(LOADS);
        loop.execute(reporter.dialer::stop);

        assertThat(observer.nextLoads()).isEqualTo(RegistryMessage.HostLoads.nothing(REPORTER));
    }

    /** Guards against places that are held back for the requests of an edge that ended. */
    @Test
    void waitingRequestsAreRelayedAndEndWithTheirEdge() throws InterruptedException {
        Edge observer = new Edge(new HostId("observer"));
        Edge reporter = new Edge(REPORTER);
        assertThat(observer.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();

        reporter.awaitLinkAndSend(WAITING);
        assertThat(observer.nextLoads()).isEqualTo(WAITING);
        loop.execute(reporter.dialer::stop);

        assertThat(observer.nextLoads().waiting()).isEqualTo(Optional.of(List.of()));
    }

    /**
     * Guards against reporting an edge as gone when its old link ends, although the edge has
     * already dialed again after a silence.
     */
    @Test
    void edgeThatDialedAgainIsNotReportedGone() throws Exception {
        Edge observer = new Edge(new HostId("observer"));
        Edge oldEdge = new Edge(REPORTER);
        assertThat(observer.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
        oldEdge.awaitLinkAndSend(LOADS);
        assertThat(observer.nextLoads()).isEqualTo(LOADS);
        Edge redialedEdge = new Edge(REPORTER);
        redialedEdge.awaitLinkAndSend(LOADS);
        assertThat(observer.nextLoads()).isEqualTo(LOADS);

        loop.execute(oldEdge.dialer::stop);
        awaitEdges(2);
        redialedEdge.send(NEWER_LOADS);

        assertThat(observer.nextLoads()).isEqualTo(NEWER_LOADS);
    }

    /** Guards against a data folder that stays locked after its registry ended. */
    @Test
    void registryStartsAgainOnItsFolder() throws Exception {
        registry.stop();

        registry = LoopbackRegistry.start(FreePorts.next(), linkPort, metricsPort, folder);

        awaitEdges(0);
    }

    /** Waits until the registry counts {@code count} links of edges. */
    private void awaitEdges(int count) throws Exception {
        String line = "siskintrail_registry_edges " + count + "\n";
        while (!metricsPage().contains(line)) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private String metricsPage() throws IOException {
        URL page = new URL("http://127.0.0.1:" + metricsPort + "/");
        try (InputStream in = page.openStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
