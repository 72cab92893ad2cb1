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

/** Passes connections on over loopback, and harms them as told. Thread-safe. */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_MILLIS = 1_000;
    private static final long DELAY_MILLIS = 120;
    private static final long HELD_MILLIS = 20;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Harm harm = Harm.NONE;

    /** What happens to bytes on their way. */
    enum Harm {
        NONE,
        DELAYED,
        /** Bytes are held in both directions until the harm ends. */
        SILENT,
        /** Bytes of answers are held until the harm ends. */
        ANSWERS_HELD,
        /** New connections are reset. */
        RESET
    }

    FaultProxy(InetAddress listen, InetSocketAddress target) throws IOException {
        this.server = new ServerSocket(0, 100, listen);
        this.target = target;
        thread(this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Harms bytes from now on; {@code RESET} also ends the connections that are open. */
    void harm(Harm next) {
        harm = next;
        if (next == Harm.RESET) {
            open.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(FaultProxy::reset);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                thread(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        if (harm == Harm.RESET) {
            reset(client);
            return;
        }
        Socket to = new Socket();
        try {
            to.connect(target, CONNECT_MILLIS);
        } catch (IOException e) {
            reset(client);
            return;
        }
        open.add(client);
        open.add(to);
        thread(() -> pass(client, to, false));
        pass(to, client, true);
    }

    private void pass(Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                hold(answers);
                out.write(buffer, 0, count);
                out.flush();
                count = in.read(buffer);
            }
            hold(answers);
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } finally {
            if (answers) {
                open.remove(from);
                open.remove(to);
            }
        }
    }

    private void hold(boolean answers) {
        if (harm == Harm.DELAYED) {
            Http.pause(DELAY_MILLIS);
        }
        while (harm == Harm.SILENT || answers && harm == Harm.ANSWERS_HELD) {
            Http.pause(HELD_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already, which is what was asked for.
            return;
        }
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
