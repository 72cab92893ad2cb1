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

/** Links find out that the other end is gone although its connection stays open. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LinkTest {
    private static final int LINK = MessageKind.LINK.number();
    private static final int EDGE = PeerRole.EDGE.ordinal();

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

    /** A host whose process hangs accepts connections and says nothing. */
    @Test
    void hostThatNeverIntroducesItselfIsDialedAgain() throws IOException {
        try (ServerSocket mute = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dial(mute);

            Socket first = mute.accept();
            Socket second = mute.accept();

            assertThat(first.getRemoteSocketAddress())
                    .isNotEqualTo(second.getRemoteSocketAddress());
        }
    }

    @Test
    void hostThatFallsSilentIsGivenUp() throws Exception {
        try (ServerSocket host = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dial(host);
            Socket link = host.accept();
            new DataOutputStream(link.getOutputStream()).write(greeting());

            opened.await();

            closed.await();
        }
    }

    @Test
    void endThatWasDialedAnswersProbes() throws Exception {
        String address = FreePorts.address();
        Identity self = new Identity(PeerRole.REGISTRY, new HostId(address));
        LinkServer server = new LinkServer(loop, self, listener);
        server.start();
        server.awaitListening();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (Socket dialer = new Socket(InetAddress.getLoopbackAddress(), port)) {
            DataOutputStream out = new DataOutputStream(dialer.getOutputStream());
            DataInputStream in = new DataInputStream(dialer.getInputStream());
            out.write(greeting());
            assertThat(readFrame(in)).isGreaterThan(Short.BYTES);

            out.write(probe());

            assertThat(readFrame(in)).isEqualTo(Short.BYTES);
        }
    }

    private void dial(ServerSocket host) {
        HostId target = new HostId("127.0.0.1:" + host.getLocalPort());
        Identity self = new Identity(PeerRole.EDGE, new HostId("test-edge"));
        new LinkDialer(loop, self, target, listener).start();
    }

    /** Returns how long the next frame is, after checking that it is one of the link itself. */
    private static int readFrame(DataInputStream in) throws IOException {
        int length = in.readInt();
        assertThat(in.readShort()).isEqualTo((short) LINK);
        in.skipNBytes(length - Short.BYTES);
        return length;
    }

    private static byte[] greeting() throws IOException {
        byte[] name = "other".getBytes(StandardCharsets.US_ASCII);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Short.BYTES + 1 + name.length);
        out.writeShort(LINK);
        out.writeByte(EDGE);
        out.write(name);
        return bytes.toByteArray();
    }

    private static byte[] probe() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Short.BYTES);
        out.writeShort(LINK);
        return bytes.toByteArray();
    }
}
