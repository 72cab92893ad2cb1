import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A heartbeat of another writer names a service that no configuration names, under the id of a
 * replica. Later that replica says that it leaves, is acknowledged, and serves on for a while.
 */
final class OtherWriter {
    private static final int EDGES = 3;
    private static final int CLIENTS_EACH = 6;
    private static final int ORDERS_EACH = 5;
    private static final long ORDER_MILLIS = 20;
    private static final int DEADLINE_MILLIS = 5_000;

    /** Quiet time after the acknowledgement, above {@code drainMs}. */
    private static final long QUIET_MILLIS = Deployment.DRAIN_MILLIS + 1_000;

    private final RunRecord record;
    private final boolean trouble;
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final List<String> late = new ArrayList<>();
    private Replica leaver;

    private OtherWriter(RunRecord record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (RunRecord record = new RunRecord(Path.of(args[0]))) {
            try {
                exit = new OtherWriter(record, args[1].equals("1")).run() ? 0 : 1;
            } catch (CannotRun | IOException e) {
                record.line("the case could not run: %s", e);
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }

    private boolean run() throws IOException, InterruptedException {
        try (Deployment deployment = new Deployment(record, 1, EDGES);
                Replica engine = replica(deployment, 0, "llm");
                Replica leaving = replica(deployment, 1, "app");
                Replica staying = replica(deployment, 2, "app")) {
            leaver = leaving;
            record.line("replicas  %s %s %s", engine.id, leaving.id, staying.id);
            deployment.configure(Configuration.of(7));
            for (int edge = 0; edge < EDGES; edge++) {
                deployment.awaitReady(edge);
            }
            Thread.sleep(4_000);
            order(deployment, "before");
            if (trouble) {
                String body =
                        """
                        {"service":"nobody","address":"%s","zone":"zone-b","version":"v1",
                         "slots":64,"state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}
                        """
                                .formatted(leaving.address(), System.currentTimeMillis());
                int status =
                        Wire.call(
                                        deployment.control(0),
                                        "PUT",
                                        "/api/replicas/" + leaving.id,
                                        body,
                                        1_000)
                                .status();
                record.line("writer    PUT %s, service nobody: %d", leaving.id, status);
            }
            Thread.sleep(2 * Replica.HEARTBEAT_MILLIS);
            order(deployment, "between");
            record.line("replica   %s begins to leave", leaving.id);
            leaving.leave();
            while (leaving.leavingAckedNanos() == 0) {
                Thread.sleep(20);
            }
            Thread.sleep(QUIET_MILLIS);
            order(deployment, "after");
            Thread.sleep(500);
            record.line(
                    "%d requests reached %s though sent more than %d ms after the acknowledgement",
                    late.size(), leaving.id, Deployment.DRAIN_MILLIS);
            record.line("rule DRAIN: %s", late.isEmpty() ? "held" : "BROKEN");
            return late.isEmpty();
        }
    }

    private Replica replica(Deployment deployment, int number, String service)
            throws IOException {
        return new Replica(
                deployment, number, service, 64, List.of(deployment.control(0)), this::work);
    }

    private boolean work(Replica replica, Wire.Head request, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("x-request-id");
        long acked = replica.leavingAckedNanos();
        long sent = sentNanos.get(id);
        record.line("replica   %s runs %s", replica.id, id);
        if (replica == leaver
                && acked != 0
                && sent - acked > Deployment.DRAIN_MILLIS * 1_000_000) {
            synchronized (late) {
                late.add(id);
            }
            record.line(
                    "replica   %s: %s was sent %d ms after the acknowledgement",
                    replica.id, id, (sent - acked) / 1_000_000);
        }
        Thread.sleep(ORDER_MILLIS);
        replica.answerOk(out, request, "booked");
        return true;
    }

    /** Places orders at every edge, some at the same time. */
    private void order(Deployment deployment, String phase) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < EDGES * CLIENTS_EACH; i++) {
            int edge = i % EDGES;
            String name = "%s-%d-%d".formatted(phase, edge, i / EDGES);
            Thread client = new Thread(() -> order(deployment, edge, name));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private void order(Deployment deployment, int edge, String name) {
        try (Socket socket = Wire.connect(deployment.front(edge), DEADLINE_MILLIS)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (int i = 0; i < ORDERS_EACH; i++) {
                String id = "%s-%d".formatted(name, i);
                sentNanos.put(id, System.nanoTime());
                String head =
                        Configuration.requestHead("POST", "/order/1", id, DEADLINE_MILLIS, 2);
                out.write(Replica.bytes(head + "\r\n{}"));
                int status = Wire.readAnswer(in).status();
                record.line("client    %s at edge-%d answered %d", id, edge, status);
            }
        } catch (IOException e) {
            record.line("client    %s at edge-%d: %s", name, edge, e.getMessage());
        }
    }
}
