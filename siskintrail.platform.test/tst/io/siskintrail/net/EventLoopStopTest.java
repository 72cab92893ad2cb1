package io.siskintrail.net;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.ChannelInboundHandlerAdapter;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sockets of an event loop that stops while its process goes on. */
@Timeout(60)
class EventLoopStopTest {
    private static final int ROUNDS = 400;
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    /** Guards against a listening socket that outlives its event loop. */
    @Test
    void portIsFreeOnceTheLoopHasStopped() throws IOException {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.next());
        for (int round = 0; round < ROUNDS; round++) {
            EventLoop loop = new EventLoop("test");
            listen(loop, address);
            loop.stop();
            try (ServerSocket next = new ServerSocket()) {
                next.bind(address);
            } catch (SocketException e) {
                assertWithMessage("round " + round + ": " + e).fail();
            }
        }
    }

    /** Guards against a peer that waits for ever at a connection whose loop has stopped. */
    @Test
    void acceptedConnectionIsClosedByTheStop() throws IOException {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.next());
        for (int round = 0; round < ROUNDS; round++) {
            EventLoop loop = new EventLoop("test");
            listen(loop, address);
            try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
                peer.setSoTimeout(READ_TIMEOUT_MILLIS);
                loop.stop();
                assertThat(isClosed(peer)).isTrue();
            }
        }
    }

    private static void listen(EventLoop loop, InetSocketAddress address) {
        TcpServer server = new TcpServer(loop, address, new ChannelInboundHandlerAdapter());
        server.listen();
        server.awaitListening();
    }

    private static boolean isClosed(Socket peer) throws IOException {
        try {
            return peer.getInputStream().read() < 0;
        } catch (SocketException reset) {
            return true;
        }
    }
}
