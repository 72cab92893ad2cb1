package io.siskintrail.net;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.HostId;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.MessageKind;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when {@link LinkDialer} reconnects to a host that was unreachable. */
class LinkDialerTest {
    private static final long TIMEOUT_SECONDS = 60;

    /** Longer than the test may take: a link that opens was not opened by the scheduled retry. */
    private static final long RETRY_DELAY_MILLIS = 3_600_000;

    private final EventLoop loop = new EventLoop("test");
    private final HostId target = new HostId(FreePorts.address());
    private final CountingListener dialed = new CountingListener();
    private final CountingListener accepted = new CountingListener();
    private final LinkDialer dialer =
            new LinkDialer(
                    loop,
                    new Identity(PeerRole.REGISTRY, new HostId("127.0.0.1:1")),
                    target,
                    dialed,
                    RETRY_DELAY_MILLIS);

    private static final class CountingListener implements LinkListener {
        private final CountDownLatch first = new CountDownLatch(1);
        private final AtomicInteger opened = new AtomicInteger();

        @Override
        public void opened(Link link) {
            opened.incrementAndGet();
            first.countDown();
        }

        @Override
        public void received(Link link, MessageKind kind, byte[] body) {}

        @Override
        public void closed(Link link) {}

        boolean awaitFirst() throws InterruptedException {
            return first.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** Otherwise registries that start together find no quorum until all retry delays are over. */
    @Test
    void knownReachableHostIsDialedWithoutDelay() throws Exception {
        dialer.start();
        loop.call(() -> {});
        listen();

        loop.execute(dialer::dialNow);

        assertThat(dialed.awaitFirst()).isTrue();
    }

    @Test
    void openLinkIsKept() throws Exception {
        listen();
        dialer.start();
        assertThat(dialed.awaitFirst()).isTrue();
        assertThat(accepted.awaitFirst()).isTrue();

        loop.call(dialer::dialNow);
        loop.call(dialer::dialNow);

        assertThat(dialer.link()).isNotNull();
        assertThat(accepted.opened.get()).isEqualTo(1);
    }

    private void listen() {
        LinkServer server = new LinkServer(loop, new Identity(PeerRole.REGISTRY, target), accepted);
        server.start();
        server.awaitListening();
    }
}
