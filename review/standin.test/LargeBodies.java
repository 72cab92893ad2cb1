import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies of the size that the configuration allows, a few at a time or, in a burst,
 * 2.5 times as many, while others place orders on kept connections.
 */
final class LargeBodies {
    private static final int BODY_BYTES = 4_194_304;
    private static final int USUAL_UPLOADS = 4;
    private static final double BURST = 2.5;
    private static final long UPLOAD_MILLIS = 3_000;
    private static final int SLICES = 60;
    private static final int ORDERING_CLIENTS = 12;
    private static final long ORDER_MILLIS = 300;
    private static final int DEADLINE_MILLIS = 10_000;
    private static final int MIN_STUCK = 8;
    private static final long BEFORE_BURST_MILLIS = 4_000;
    private static final long BURST_MILLIS = 5_900;
    private static final long RUN_MILLIS = 20_000;

    private final RunRecord record;
    private final boolean burst;
    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger stuck = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger lostUploads = new AtomicInteger();
    private volatile boolean ended;

    private LargeBodies(RunRecord record, boolean burst) {
        this.record = record;
        this.burst = burst;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (RunRecord record = new RunRecord(Path.of(args[0]))) {
            try {
                exit = new LargeBodies(record, args[1].equals("1")).run() ? 0 : 1;
            } catch (CannotRun | IOException e) {
                record.line("the case could not run: %s", e);
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }

    private boolean run() throws IOException, InterruptedException {
        try (Deployment deployment = new Deployment(record, 1, 1);
                Replica app =
                        new Replica(
                                deployment, 1, "app", 64, List.of(deployment.control(0)), this::work);
                Replica engine =
                        new Replica(
                                deployment, 2, "llm", 64, List.of(deployment.control(0)), this::work)) {
            record.line("replicas  %s %s", app.id, engine.id);
            deployment.configure(Configuration.of(7));
            deployment.awaitReady(0);
            Thread.sleep(4_000);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < ORDERING_CLIENTS; i++) {
                int number = i;
                clients.add(start(() -> order(deployment, number)));
            }
            Thread.sleep(1_000);
            record.line("clients   %d uploads of %d bytes at a time", USUAL_UPLOADS, BODY_BYTES);
            for (int i = 0; i < USUAL_UPLOADS; i++) {
                int number = i;
                clients.add(start(() -> upload(deployment, number, Long.MAX_VALUE)));
            }
            Thread.sleep(BEFORE_BURST_MILLIS);
            if (burst) {
                int uploads = (int) (BURST * USUAL_UPLOADS);
                record.line("clients   burst: %d uploads at a time for %d ms", uploads, BURST_MILLIS);
                long end = System.nanoTime() + BURST_MILLIS * 1_000_000;
                for (int i = USUAL_UPLOADS; i < uploads; i++) {
                    int number = i;
                    clients.add(start(() -> upload(deployment, number, end)));
                }
            }
            Thread.sleep(RUN_MILLIS);
            ended = true;
            for (Thread client : clients) {
                client.join(10_000);
            }
            boolean alive = deployment.edge(0).isAlive();
            record.line("platform  edge-0 %s", alive ? "still runs" : "has ended by itself");
            record.line("platform  edge-0 ready: %s", deployment.isReady(0));
            record.line(
                    "orders: %d answered, %d passed on and their connection closed without an"
                            + " answer; uploads closed without an answer: %d",
                    answered.get(), lost.get(), lostUploads.get());
            record.line(
                    "orders without an answer at timeoutMs: %d, of these without one half a second"
                            + " later: %d",
                    late.get(), stuck.get());
            boolean broken = stuck.get() >= MIN_STUCK && 2 * stuck.get() > late.get();
            record.line("rule CONFIG (timeoutMs): %s", broken ? "BROKEN" : "held");
            return !broken;
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private boolean work(Replica replica, Wire.Head request, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("x-request-id");
        runs.add(id);
        record.line("replica   %s runs %s (%d bytes)", replica.id, id, body.length);
        Thread.sleep(ORDER_MILLIS);
        replica.answerOk(out, request, "done " + id);
        return true;
    }

    /** Places orders one after the other on a kept connection. */
    private void order(Deployment deployment, int number) {
        for (int connections = 0; !ended; connections++) {
            try (Socket socket = Wire.connect(deployment.front(0), DEADLINE_MILLIS)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (int i = 0; !ended; i++) {
                    String id = "order%02d-%d-%d".formatted(number, connections, i);
                    if (!orderOnce(in, out, id, i > 0)) {
                        break;
                    }
                }
            } catch (IOException e) {
                record.line("client    %d: no connection: %s", number, e.getMessage());
                pause();
            }
        }
    }

    /** Places one order; returns whether the connection can carry the next. */
    private boolean orderOnce(InputStream in, OutputStream out, String id, boolean kept) {
        String body = "{\"crew\":1}";
        long sentAt = System.nanoTime();
        try {
            String head =
                    Configuration.requestHead(
                            "POST", "/order/1", id, DEADLINE_MILLIS, body.length());
            out.write(Replica.bytes(head + "\r\n" + body));
            sentAt = System.nanoTime();
            Wire.Answer answer = Wire.readAnswer(in);
            count(id, sentAt);
            answered.incrementAndGet();
            if (answer.status() != 200) {
                record.line("client    %s answered %d", id, answer.status());
            }
            return !"close".equals(answer.head().header("connection"));
        } catch (SocketTimeoutException e) {
            count(id, sentAt);
            record.line("client    %s not answered by its deadline", id);
            return false;
        } catch (IOException e) {
            count(id, sentAt);
            boolean passedOn = runs.contains(id);
            record.line(
                    "client    %s: %s, %s connection, %s", id, e.getMessage(),
                    kept ? "kept" : "new", passedOn ? "passed on" : "not passed on");
            if (kept && passedOn) {
                lost.incrementAndGet();
            }
            return false;
        }
    }

    /** Counts how long a request that ends now was without a final answer. */
    private void count(String id, long sentAt) {
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        if (millis > Configuration.ORDER_TIMEOUT_MILLIS) {
            late.incrementAndGet();
            record.line("client    %s was without an answer for %d ms", id, millis);
        }
        if (millis > Configuration.ORDER_TIMEOUT_MILLIS + 500) {
            stuck.incrementAndGet();
        }
    }

    /** Sends large bodies one after the other, the last of them begun before {@code endNanos}. */
    private void upload(Deployment deployment, int number, long endNanos) {
        byte[] slice = new byte[BODY_BYTES / SLICES];
        for (int i = 0; !ended && System.nanoTime() < endNanos; i++) {
            String id = "upload%02d-%d".formatted(number, i);
            int sent = 0;
            try (Socket socket = Wire.connect(deployment.front(0), 25_000)) {
                OutputStream out = socket.getOutputStream();
                out.write(
                        Replica.bytes(
                                Configuration.requestHead(
                                                "POST", "/upload/1", id, 25_000, BODY_BYTES)
                                        + "\r\n"));
                while (sent < BODY_BYTES) {
                    int size = Math.min(slice.length, BODY_BYTES - sent);
                    out.write(slice, 0, size);
                    sent += size;
                    Thread.sleep(UPLOAD_MILLIS / SLICES);
                }
                Wire.Answer answer =
                        Wire.readAnswer(new BufferedInputStream(socket.getInputStream()));
                record.line("client    %s answered %d", id, answer.status());
            } catch (EOFException e) {
                lostUploads.incrementAndGet();
                record.line("client    %s closed after %d bytes: %s", id, sent, e.getMessage());
                pause();
            } catch (IOException e) {
                lostUploads.incrementAndGet();
                record.line("client    %s failed after %d bytes: %s", id, sent, e.getMessage());
                pause();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
