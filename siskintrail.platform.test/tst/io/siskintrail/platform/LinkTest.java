package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.Identity;
import io.siskintrail.net.Link;
import io.siskintrail.net.LinkDialer;
import io.siskintrail.net.LinkListener;
import io.siskintrail.net.LinkServer;
import io.siskintrail.net.PeerRole;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.MessageKind;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Links detect an unresponsive peer although its connection stays open. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LinkTest {
    private static final int LINK_KIND = MessageKind.LINK.number();
    private static final int EDGE_ROLE = PeerRole.EDGE.ordinal();

    private final EventLoop loop = new EventLoop("test");
    private final CountDownLatch opened = new CountDownLatch(1);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final LinkListener listener =
            new LinkListener() {
                @Override
                public void opened(Link link) {
                    opened.countDown();
                }

                @Override
                public void received(Link link, MessageKind kind, byte[] body) {}

                @Override
                public void closed(Link link) {
                    closed.countDown();
                }
            };

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** Guards against a hung peer process, which accepts connections and sends nothing. */
    @Test
    void hostThatSendsNoGreetingIsDialedAgain() throws IOException {
        try (ServerSocket silentHost = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dial(silentHost);

            Socket first = silentHost.accept();
            Socket second = silentHost.accept();

            assertThat(first.getRemoteSocketAddress())
                    .isNotEqualTo(second.getRemoteSocketAddress());
        }
    }

    @Test
    void linkToHostThatFallsSilentIsClosed() throws Exception {
        try (ServerSocket host = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dial(host);
            Socket link = host.accept();
            new DataOutputStream(link.getOutputStream()).write(greetingFrame());

            opened.await();

            closed.await();
        }
    }

    @Test
    void acceptingEndRespondsToProbes() throws Exception {
        String address = FreePorts.address();
        Identity self = new Identity(PeerRole.REGISTRY, new HostId(address));
        LinkServer server = new LinkServer(loop, self, listener);
        server.start();
        server.awaitListening();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (Socket dialer = new Socket(InetAddress.getLoopbackAddress(), port)) {
            DataOutputStream out = new DataOutputStream(dialer.getOutputStream());
            DataInputStream in = new DataInputStream(dialer.getInputStream());
            out.write(greetingFrame());
            assertThat(readFrame(in)).isGreaterThan(Short.BYTES);

            out.write(probeFrame());

            assertThat(readFrame(in)).isEqualTo(Short.BYTES);
        }
    }

    private void dial(ServerSocket host) {
        HostId target = new HostId("127.0.0.1:" + host.getLocalPort());
        Identity self = new Identity(PeerRole.EDGE, new HostId("test-edge"));
        new LinkDialer(loop, self, target, listener).start();
    }

    /** Reads a frame that must belong to the link protocol; returns its length in bytes. */
    private static int readFrame(DataInputStream in) throws IOException {
        int length = in.readInt();
        assertThat(in.readShort()).isEqualTo((short) LINK_KIND);
        in.skipNBytes(length - Short.BYTES);
        return length;
    }

    private static byte[] greetingFrame() throws IOException {
        byte[] name = "other".getBytes(StandardCharsets.US_ASCII);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Short.BYTES + 1 + name.length);
        out.writeShort(LINK_KIND);
        out.writeByte(EDGE_ROLE);
        out.write(name);
        return bytes.toByteArray();
    }

    private static byte[] probeFrame() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Short.BYTES);
        out.writeShort(LINK_KIND);
        return bytes.toByteArray();
    }
}
