package io.siskintrail.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards loopback connections and injects network faults. Thread-safe. */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long DELAY_MILLIS = 120;
    private static final long STALL_POLL_MILLIS = 20;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile Fault fault = Fault.NONE;

    /** How forwarded bytes and connections are disturbed. */
    enum Fault {
        NONE,
        DELAY,
        /** Stalls bytes in both directions until the fault ends. */
        STALL,
        /** Stalls bytes of responses until the fault ends. */
        STALL_RESPONSES,
        /** Resets open and new connections. */
        RESET
    }

    FaultProxy(InetAddress listen, InetSocketAddress target) throws IOException {
        this.server = new ServerSocket(0, 100, listen);
        this.target = target;
        startThread(this::acceptConnections);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Sets the fault from now on; {@code RESET} also resets the connections that are open. */
    void setFault(Fault next) {
        fault = next;
        if (next == Fault.RESET) {
            openSockets.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        openSockets.forEach(FaultProxy::reset);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                startThread(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        if (fault == Fault.RESET) {
            reset(client);
            return;
        }
        Socket upstream = new Socket();
        try {
            upstream.connect(target, CONNECT_TIMEOUT_MILLIS);
        } catch (IOException e) {
            reset(client);
            return;
        }
        openSockets.add(client);
        openSockets.add(upstream);
        startThread(() -> forward(client, upstream, false));
        forward(upstream, client, true);
    }

    private void forward(Socket from, Socket to, boolean responses) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                applyFault(responses);
                out.write(buffer, 0, count);
                out.flush();
                count = in.read(buffer);
            }
            applyFault(responses);
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } finally {
            if (responses) {
                openSockets.remove(from);
                openSockets.remove(to);
            }
        }
    }

    private void applyFault(boolean responses) {
        if (fault == Fault.DELAY) {
            Http.sleep(DELAY_MILLIS);
        }
        while (fault == Fault.STALL || responses && fault == Fault.STALL_RESPONSES) {
            Http.sleep(STALL_POLL_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
            return;
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
