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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine preempts streams for a moment, reads them in again and goes on, while the edge that
 * passes them on is stopped as planned. The route does not allow resuming.
 */
final class PausedStream {
    private static final int STREAMS = 5;
    private static final int EVENTS = 60;
    private static final int EVENTS_BEFORE_PAUSE = 30;
    private static final long EVENT_MILLIS = 50;

    /** Time to read 8,200 tokens in again, at 8 a millisecond, and to be admitted. */
    private static final long PAUSE_MILLIS = 1_500;

    private static final long STOP_AFTER_MILLIS = 1_000;
    private static final int DEADLINE_MILLIS = 25_000;

    private final RunRecord record;
    private final boolean pause;
    private final boolean stop;
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();

    private PausedStream(RunRecord record, boolean pause, boolean stop) {
        this.record = record;
        this.pause = pause;
        this.stop = stop;
    }

    public static void main(String[] args) throws Exception {
        String trouble = args[1];
        int exit = 2;
        try (RunRecord record = new RunRecord(Path.of(args[0]))) {
            try {
                boolean pause = trouble.equals("1") || trouble.equals("pause");
                boolean stop = trouble.equals("1") || trouble.equals("stop");
                exit = new PausedStream(record, pause, stop).run() ? 0 : 1;
            } catch (CannotRun | IOException e) {
                record.line("the case could not run: %s", e);
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }

    private boolean run() throws IOException, InterruptedException {
        try (Deployment deployment = new Deployment(record, 1, 1);
                Replica engine =
                        new Replica(
                                deployment, 0, "llm", 64, List.of(deployment.control(0)), this::work);
                Replica app =
                        new Replica(
                                deployment,
                                1,
                                "app",
                                6,
                                List.of(deployment.control(0)),
                                (r, request, body, out) -> {
                                    r.answerOk(out, request, "in stock");
                                    return true;
                                })) {
            deployment.configure(Configuration.of(7));
            deployment.awaitReady(0);
            Thread.sleep(4_000);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                String id = "stream%010d".formatted(i);
                Thread client = new Thread(() -> readStream(deployment, id));
                client.start();
                clients.add(client);
            }
            Thread.sleep(STOP_AFTER_MILLIS);
            if (stop) {
                record.line("platform  SIGTERM to edge-0; graceS is %d", Deployment.GRACE_SECONDS);
                deployment.terminate(deployment.edge(0));
            }
            for (Thread client : clients) {
                client.join();
            }
            record.line(
                    "%d streams complete, %d of %d ended without a complete answer",
                    completed.get(), cut.get(), STREAMS);
            if (completed.get() + cut.get() != STREAMS) {
                throw new CannotRun("not all streams began");
            }
            boolean broken = stop && cut.get() > 0;
            record.line("rule LOST (planned work): %s", broken ? "BROKEN" : "held");
            return !broken;
        }
    }

    /** Runs a stream: events at a steady pace, with one pause in the middle. */
    private boolean work(Replica replica, Wire.Head request, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("x-request-id");
        record.line("replica   %s runs %s", replica.id, id);
        int event = 0;
        try {
            out.write(
                    Replica.bytes(
                            Replica.signedHead(200, request)
                                    + "Content-Type: text/event-stream\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"));
            for (event = 1; event <= EVENTS; event++) {
                if (pause && event == EVENTS_BEFORE_PAUSE) {
                    record.line("replica   %s preempts %s for %d ms", replica.id, id, PAUSE_MILLIS);
                    Thread.sleep(PAUSE_MILLIS);
                    record.line("replica   %s goes on with %s", replica.id, id);
                }
                Replica.chunk(out, "id: %d\ndata: piece %d\n\n".formatted(event, event));
                Thread.sleep(EVENT_MILLIS);
            }
            out.write(Replica.bytes("0\r\n\r\n"));
            out.flush();
            record.line("replica   %s: run of %s ends, complete", replica.id, id);
            return true;
        } catch (IOException e) {
            record.line(
                    "replica   %s: caller of %s has gone, at event %d of %d",
                    replica.id, id, event, EVENTS);
            return false;
        }
    }

    /** Sends a lookup and then a stream on one kept connection. */
    private void readStream(Deployment deployment, String id) {
        int events = 0;
        try (Socket socket = Wire.connect(deployment.front(0), DEADLINE_MILLIS)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            String lookup =
                    Configuration.requestHead("GET", "/stock/1", "a" + id, 5_000, 0) + "\r\n";
            out.write(Replica.bytes(lookup));
            record.line("client    a%s answered %d", id, Wire.readAnswer(in).status());
            String body = "{}";
            String head =
                    Configuration.requestHead(
                                    "POST", "/report/1", id, DEADLINE_MILLIS, body.length())
                            + "X-Model: m\r\nX-Token-Usage: 8200,130\r\n"
                            + "X-Prompt-Prefix: 5c1e07a2:200,%s:8000\r\n\r\n".formatted(hex(id));
            out.write(Replica.bytes(head + body));
            record.line("client    %s sent on a kept connection", id);
            Wire.Head answer = Wire.readHead(in);
            if (answer == null) {
                throw new EOFException("connection closed without an answer");
            }
            record.line("client    %s answered %d", id, answer.status());
            if (answer.status() != 200) {
                Wire.readBody(answer, in);
                cut.incrementAndGet();
                return;
            }
            while (Wire.readChunk(in).length > 0) {
                events++;
            }
            record.line("client    %s complete, %d pieces", id, events);
            completed.incrementAndGet();
        } catch (SocketTimeoutException e) {
            record.line("client    %s gave up at its deadline after %d pieces", id, events);
            cut.incrementAndGet();
        } catch (IOException e) {
            record.line("client    %s cut after %d pieces: %s", id, events, e.getMessage());
            cut.incrementAndGet();
        }
    }

    private static String hex(String id) {
        return "%08x".formatted(id.hashCode());
    }
}
