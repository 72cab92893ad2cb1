package io.siskintrail.wire;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.HostId;
import io.siskintrail.testkit.FreePorts;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ThriftPeerTransportTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");

    @Test
    void messagesReachTheHandlerOfTheirKind() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = FreePorts.socketAddress();
        try (ThriftPeerTransport to = new ThriftPeerTransport(B, address, "shared-key");
                ThriftPeerTransport from =
                        new ThriftPeerTransport(A, FreePorts.socketAddress(), "shared-key")) {
            to.handle(MessageKind.POLICY, (s, body) -> received.add(s + ":" + text(body)));
            to.start();
            from.addPeer(B, address);
            from.send(B, MessageKind.BUDDY, bytes("wrong kind"));
            from.send(B, MessageKind.POLICY, bytes("one"));
            from.send(B, MessageKind.POLICY, bytes("two"));
            assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo("a:one");
            assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo("a:two");
        }
    }

    @Test
    void messagesUnderAnotherKeyAreDropped() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = FreePorts.socketAddress();
        try (ThriftPeerTransport to = new ThriftPeerTransport(B, address, "shared-key");
                ThriftPeerTransport bad =
                        new ThriftPeerTransport(A, FreePorts.socketAddress(), "other-key!");
                ThriftPeerTransport good =
                        new ThriftPeerTransport(A, FreePorts.socketAddress(), "shared-key")) {
            to.handle(MessageKind.POLICY, (s, body) -> received.add(text(body)));
            to.start();
            bad.addPeer(B, address);
            good.addPeer(B, address);
            bad.send(B, MessageKind.POLICY, bytes("forged"));
            good.send(B, MessageKind.POLICY, bytes("genuine"));
            assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo("genuine");
            assertThat(received.poll(200, TimeUnit.MILLISECONDS)).isNull();
        }
    }

    @Test
    void theAddressIsFreeOnceTheTransportIsClosed() throws Exception {
        InetSocketAddress address = FreePorts.socketAddress();
        for (int i = 0; i < 50; i++) {
            try (ThriftPeerTransport transport =
                    new ThriftPeerTransport(A, address, "shared-key")) {
                transport.start();
            }
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
