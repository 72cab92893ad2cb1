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

/**
 * Tests that a {@link Link} detects a peer that stops responding while the TCP connection stays
 * open.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LinkTest {
    private static final int LINK_MESSAGE_KIND = MessageKind.LINK.number();
    private static final int EDGE_ROLE = PeerRole.EDGE.ordinal();

    private final EventLoop loop = new EventLoop("test");
    private final CountDownLatch linkOpened = new CountDownLatch(1);
    private final CountDownLatch linkClosed = new CountDownLatch(1);
    private final LinkListener listener =
            new LinkListener() {
                @Override
                public void opened(Link link) {
                    linkOpened.countDown();
                }

                @Override
                public void received(Link link, MessageKind kind, byte[] body) {}

                @Override
                public void closed(Link link) {
                    linkClosed.countDown();
                }
            };

    @AfterEach
    void stop() {
        loop.stop();
    }

    /**
     * A hung peer process still accepts connections, but sends nothing. The dialer must give up
     * such a connection and open another one.
     */
    @Test
    void hostThatSendsNoHandshakeIsDialedAgain() throws IOException {
        try (ServerSocket hungHost = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dial(hungHost);

            Socket firstConnection = hungHost.accept();
            Socket secondConnection = hungHost.accept();

            assertThat(firstConnection.getRemoteSocketAddress())
                    .isNotEqualTo(secondConnection.getRemoteSocketAddress());
        }
    }

    @Test
    void linkToHostThatStopsSendingIsClosed() throws Exception {
        try (ServerSocket host = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dial(host);
            Socket connection = host.accept();
            new DataOutputStream(connection.getOutputStream()).write(handshakeFrame());

            linkOpened.await();

            linkClosed.await();
        }
    }

    @Test
    void serverRespondsToProbes() throws Exception {
        String address = FreePorts.address();
        Identity localIdentity = new Identity(PeerRole.REGISTRY, new HostId(address));
        LinkServer server = new LinkServer(loop, localIdentity, listener);
        server.start();
        server.awaitListening();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            DataOutputStream out = new DataOutputStream(client.getOutputStream());
            DataInputStream in = new DataInputStream(client.getInputStream());
            out.write(handshakeFrame());
            assertThat(readFrame(in)).isGreaterThan(Short.BYTES);

            out.write(probeFrame());

            assertThat(readFrame(in)).isEqualTo(Short.BYTES);
        }
    }

    private void dial(ServerSocket host) {
        HostId target = new HostId("127.0.0.1:" + host.getLocalPort());
        Identity localIdentity = new Identity(PeerRole.EDGE, new HostId("test-edge"));
        new LinkDialer(loop, localIdentity, target, listener).start();
    }

    /**
     * Reads a frame and asserts that its message kind is {@code LINK}.
     *
     * @return length of the frame in bytes, with the message kind and without the length field
     */
    private static int readFrame(DataInputStream in) throws IOException {
        int length = in.readInt();
        assertThat(in.readShort()).isEqualTo((short) LINK_MESSAGE_KIND);
        in.skipNBytes(length - Short.BYTES);
        return length;
    }

    /** Returns a handshake: length, message kind, role of the sender and id of its host. */
    private static byte[] handshakeFrame() throws IOException {
        byte[] hostId = "other".getBytes(StandardCharsets.US_ASCII);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Short.BYTES + 1 + hostId.length);
        out.writeShort(LINK_MESSAGE_KIND);
        out.writeByte(EDGE_ROLE);
        out.write(hostId);
        return bytes.toByteArray();
    }

    /** Returns a probe: length and message kind, with an empty body. */
    private static byte[] probeFrame() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Short.BYTES);
        out.writeShort(LINK_MESSAGE_KIND);
        return bytes.toByteArray();
    }
}
