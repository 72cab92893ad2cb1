package io.siskintrail.platform;

import io.siskintrail.platform.SoakSecondAnswers.Received;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends requests straight to an edge whose endpoints answer twice, and checks each answer against
 * the runs of its request. Used by one thread, except for {@link #stop}.
 */
final class SoakTwiceClient implements SoakClients.Client {
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int READ_TIMEOUT_MILLIS = 9_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int RECONNECT_PAUSE_MILLIS = 10;
    private static final int MAX_PAUSE_MILLIS = 20;
    private static final int MAX_BODY_PAUSE_MILLIS = 100;
    private static final int MAX_STAY_MILLIS = 200;
    private static final int MAX_PIPELINED = 4;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: ([^:]+):(\\d+)\n\n");

    private final Habit habit;
    private final SoakSystem system;
    private final SoakRecorder recorder;
    private final SplittableRandom random;
    private final String name;
    private int edgeIndex;
    private int requestCount;
    private Request repeated;
    private volatile boolean stopped;

    /** How a client sends its requests and what it does after a failure. */
    enum Habit {
        ONE_BY_ONE,
        PIPELINES,
        /** Sends bodies in chunks with pauses. */
        SENDS_SLOWLY,
        /** Closes part of its connections before the answer is complete. */
        LEAVES_EARLY,
        /** Sends a failed request again with the same ID. */
        REPEATS_ID,
        /** Sends a failed request that may be repeated to the other edge, with a new ID. */
        MOVES_ON
    }

    /** A request of this client. */
    private record Request(String id, String route) {
        boolean mayBeRepeatedAfter(int status) {
            return !route.equals("/once/") || SoakClient.NOT_RUN_STATUSES.contains(status);
        }
    }

    SoakTwiceClient(
            Habit habit, int edgeIndex, SoakSystem system, SoakRecorder recorder, long seed) {
        this.habit = habit;
        this.edgeIndex = edgeIndex;
        this.name = "%s-%d".formatted(habit, edgeIndex);
        this.system = system;
        this.recorder = recorder;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void run() {
        while (!stopped) {
            try (Socket socket = connect()) {
                useConnection(socket);
            } catch (IOException e) {
                recorder.increment("connection ended");
                repeated = null;
                Http.sleep(RECONNECT_PAUSE_MILLIS);
            }
            if (random.nextInt(4) == 0) {
                edgeIndex = (edgeIndex + 1) % system.edges().size();
            }
        }
    }

    @Override
    public void stop() {
        stopped = true;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        try {
            socket.connect(system.frontAddress(edgeIndex), CONNECT_TIMEOUT_MILLIS);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        return socket;
    }

    /** Sends requests until the connection ends or the client turns to another edge. */
    private void useConnection(Socket socket) throws IOException {
        boolean open = true;
        int usedEdge = edgeIndex;
        while (open && usedEdge == edgeIndex && !stopped) {
            Queue<Request> pending = new ArrayDeque<>();
            send(socket.getOutputStream(), pending);
            if (habit == Habit.LEAVES_EARLY && random.nextInt(3) == 0) {
                Http.sleep(random.nextInt(MAX_STAY_MILLIS));
                recorder.increment("left early");
                return;
            }
            while (!pending.isEmpty()) {
                open &= readAnswer(socket.getInputStream(), pending.remove());
            }
            if (repeated == null) {
                Http.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        }
    }

    private void send(OutputStream out, Queue<Request> pending) throws IOException {
        int count = habit == Habit.PIPELINES ? 2 + random.nextInt(MAX_PIPELINED - 1) : 1;
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            Request next = repeated == null ? drawRequest() : repeated;
            repeated = null;
            recorder.secondAnswers().recordSent(next.id());
            pending.add(next);
            text.append(format(next));
        }
        if (habit != Habit.SENDS_SLOWLY) {
            out.write(Http.toBytes(text.toString()));
            return;
        }
        for (String part : text.toString().split("(?<=part\r\n)")) {
            out.write(Http.toBytes(part));
            Http.sleep(random.nextInt(MAX_BODY_PAUSE_MILLIS));
        }
    }

    private Request drawRequest() {
        int kind = random.nextInt(10);
        String route = kind < 4 ? "/once/" : kind < 8 ? "/safe/" : "/gen/";
        return new Request("%s-%d".formatted(name, ++requestCount), route);
    }

    private String format(Request request) {
        boolean get = request.route().equals("/safe/");
        String body =
                habit == Habit.SENDS_SLOWLY
                        ? "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n4\r\npart\r\n0\r\n\r\n"
                        : "Content-Length: 4\r\n\r\nbody";
        return ("%s %s%s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                        + "X-Request-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n%s")
                .formatted(
                        get ? "GET" : "POST",
                        request.route(),
                        request.id(),
                        request.id(),
                        DEADLINE_MILLIS,
                        get ? "\r\n" : body);
    }

    /** Reads and checks one answer; returns whether the connection may be used again. */
    private boolean readAnswer(InputStream in, Request request) throws IOException {
        String head = SoakWire.readHead(in);
        int status = SoakWire.parseStatus(head);
        String id = SoakWire.header(head, "X-Request-Id");
        String signature = SoakWire.header(head, "X-Replica-Signature");
        if (status == 200 && request.route().equals("/gen/")) {
            recorder.secondAnswers().check(request.id(), new Received(status, id, signature, null));
            readStream(in, request, signature);
            recorder.increment("stream 200");
        } else {
            String body = SoakWire.readBody(in, head);
            recorder.secondAnswers().check(request.id(), new Received(status, id, signature, body));
            recorder.increment("status " + status);
        }
        if (status >= 400) {
            drawRepetition(request, status);
        }
        return !SoakWire.announcesClose(head);
    }

    private void drawRepetition(Request request, int status) {
        if (habit == Habit.REPEATS_ID && status >= 500) {
            repeated = request;
        } else if (habit == Habit.MOVES_ON && request.mayBeRepeatedAfter(status)) {
            repeated = new Request("%s-%d".formatted(name, ++requestCount), request.route());
            edgeIndex = (edgeIndex + 1) % system.edges().size();
        }
    }

    private void readStream(InputStream in, Request request, String signature) throws IOException {
        StringBuilder text = new StringBuilder();
        String previous = signature;
        int last = 0;
        String chunk = SoakWire.readChunk(in);
        while (chunk != null && !chunk.isEmpty()) {
            text.append(chunk);
            Matcher event = EVENT.matcher(text);
            int end = 0;
            while (event.find()) {
                int next = Integer.parseInt(event.group(1));
                if (next != last + 1 || !event.group(1).equals(event.group(3))) {
                    recorder.recordViolation(
                            "stream %s has event %d after %d".formatted(request, next, last));
                }
                recorder.secondAnswers().checkEvent(request.id(), previous, event.group(2), next);
                previous = event.group(2);
                last = next;
                end = event.end();
            }
            text.delete(0, end);
            chunk = SoakWire.readChunk(in);
        }
        if (chunk == null) {
            throw new IOException("stream ended early");
        }
        if (last != SoakEndpoint.EVENT_COUNT || text.length() > 0) {
            recorder.recordViolation(
                    "stream %s ended as complete after event %d".formatted(request, last));
        }
    }
}
