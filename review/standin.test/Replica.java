import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound replica: reports itself, keeps connections, runs one request at a time on each, and
 * refuses with 421 what names another replica. What a run does is up to its {@link Work}.
 */
final class Replica implements AutoCloseable {
    static final long HEARTBEAT_MILLIS = 1_200;
    private static final int KEEP_ALIVE_SECONDS = 30;

    private final RunRecord record;
    private final List<InetSocketAddress> controls;
    private final String service;
    private final String zone;
    private final int slots;
    private final Work work;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    final String id;
    private volatile boolean closed;
    private volatile boolean leaving;
    private volatile long leavingAckedNanos;

    /** Runs a request and writes its answer; returns whether the connection may stay open. */
    interface Work {
        boolean run(Replica replica, Wire.Head request, byte[] body, OutputStream out)
                throws IOException, InterruptedException;
    }

    Replica(
            Deployment deployment,
            int number,
            String service,
            int slots,
            List<InetSocketAddress> controls,
            Work work)
            throws IOException {
        this.record = deployment.record;
        this.controls = controls;
        this.service = service;
        this.zone = "zone-" + (char) ('a' + number % 3);
        this.slots = slots;
        this.work = work;
        this.id = "i-" + service + "-" + number;
        server = new ServerSocket();
        server.bind(
                new InetSocketAddress(
                        InetAddress.getByName(deployment.subnet + "." + (100 + number)), 0),
                512);
        start(this::accept);
        start(this::report);
    }

    /** Writes the head of an answer of a run, without its framing. */
    static String signedHead(int status, Wire.Head request) {
        String id = request.header("x-request-id");
        return "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Replica-Signature: 3e1b.07.%s\r\n"
                .formatted(status, id, id);
    }

    /** Reports from now on that the replica drains; it serves on and says so in its answers. */
    void leave() {
        leaving = true;
    }

    /** Returns when a registry acknowledged that the replica drains, 0 before. */
    long leavingAckedNanos() {
        return leavingAckedNanos;
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    long born() {
        return born;
    }

    /** Writes a complete signed answer, which tells when this replica leaves. */
    void answerOk(OutputStream out, Wire.Head request, String body) throws IOException {
        String head = signedHead(200, request) + (leaving ? "Server-Leaving: 1\r\n" : "");
        out.write(
                bytes(
                        head
                                + "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s"
                                        .formatted(KEEP_ALIVE_SECONDS, body.length(), body)));
        out.flush();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void chunk(OutputStream out, String text) throws IOException {
        out.write(bytes("%x\r\n%s\r\n".formatted(text.length(), text)));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket connection = server.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setSoTimeout(KEEP_ALIVE_SECONDS * 1_000);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            boolean open = true;
            while (open) {
                Wire.Head request = Wire.readHead(in);
                if (request == null) {
                    return;
                }
                byte[] body = Wire.readBody(request, in);
                open = handle(request, body, out);
            }
        } catch (IOException e) {
            // The other end closed the connection, or it was idle for too long.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    private boolean handle(Wire.Head request, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        String expected = request.header("x-expect-replica");
        if (expected != null && !expected.equals(id)) {
            out.write(
                    bytes(
                            "HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
                                    + "X-Request-Id: %s\r\n\r\n"
                                            .formatted(request.header("x-request-id"))));
            out.flush();
            return true;
        }
        return work.run(this, request, body, out);
    }

    private void report() {
        for (int turn = 0; !closed; turn++) {
            boolean nowLeaving = leaving;
            String body =
                    """
                    {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":%d,
                     "state":"%s","coldRemainingMs":0,"sequence":%d,"born":%d}
                    """
                            .formatted(
                                    service,
                                    server.getInetAddress().getHostAddress(),
                                    server.getLocalPort(),
                                    zone,
                                    slots,
                                    nowLeaving ? "draining" : "ready",
                                    sequence.incrementAndGet(),
                                    born);
            boolean taken = false;
            for (int i = 0; i < controls.size() && !taken; i++) {
                InetSocketAddress to = controls.get((turn + i) % controls.size());
                try {
                    taken =
                            Wire.call(to, "PUT", "/api/replicas/" + id, body, 1_000).status()
                                    == 200;
                } catch (IOException e) {
                    record.line("replica   %s: heartbeat not taken by %s", id, to);
                }
            }
            if (nowLeaving && taken && leavingAckedNanos == 0) {
                leavingAckedNanos = System.nanoTime();
                record.line("replica   %s: draining is acknowledged", id);
            }
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
