package io.siskintrail.testkit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out ports of the loopback address for servers that are started a moment later. The ports
 * lie below the range from which the system takes the local ports of outgoing connections, since a
 * connection could otherwise take one between the choice and the start. Safe for use by any thread.
 */
public final class FreePorts {
    /** First port that is handed out; well-known services lie below. */
    static final int FIRST = 10_000;

    /** First port that is not handed out: Linux takes local ports from here on. */
    static final int END = 32_768;

    /** Distance between the first ports of two processes: more than one test run asks for. */
    private static final int STRIDE = 101;

    private static final AtomicInteger ASKED =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % (END - FIRST)));

    private FreePorts() {}

    /**
     * Returns a port that no server listens on.
     *
     * @throws IllegalStateException when every port of the range is in use
     */
    public static int next() {
        for (int tries = 0; tries < END - FIRST; tries++) {
            int port = FIRST + Math.floorMod(ASKED.getAndIncrement(), END - FIRST);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("every port from " + FIRST + " to " + END + " is in use");
    }

    /** Returns an address of the form {@code ip:port} that no server listens on. */
    public static String address() {
        return "127.0.0.1:" + next();
    }

    /** Returns an address of the loopback interface that no server listens on. */
    public static InetSocketAddress socketAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), next());
    }

    /** Binds to every address, since a server on any of them would be in the way. */
    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
