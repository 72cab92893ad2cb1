package io.siskintrail.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends requests straight to one edge over one connection until the edge closes it, and records
 * each request that gets neither a response nor a refusal. Used by one thread, except for {@link
 * #stop}.
 */
final class SoakKeptClient implements SoakClients.Client {
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int READ_TIMEOUT_MILLIS = 9_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int RECONNECT_PAUSE_MILLIS = 10;
    private static final int MAX_PAUSE_MILLIS = 40;
    private static final int MAX_BODY_PAUSE_MILLIS = 250;
    private static final int BODY_PARTS = 4;
    private static final int MAX_PIPELINED = 4;

    /** Longest delay of a response; shorter than the grace of an edge and the routes' timeouts. */
    private static final int MAX_DELAY_MILLIS = 2_400;

    private static final int MAX_SHORT_DELAY_MILLIS = 250;

    private static final int MAX_RESPONSE_BYTES = 5 << 20;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4 << 10;
    private static final int SLOW_READ_BYTES = 256 << 10;
    private static final int SLOW_READ_PAUSE_MILLIS = 20;
    private static final String BODY = "body";
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    private final Habit habit;
    private final String name;
    private final int edgeIndex;
    private final InetSocketAddress edge;
    private final SoakRecorder recorder;
    private final SplittableRandom random;
    private int requestCount;
    private volatile boolean stopped;

    /** How a client sends its requests and reads the responses. */
    enum Habit {
        /** Sends a request when the response to the one before is complete. */
        ONE_BY_ONE,
        /** Sends several requests at once. */
        PIPELINES,
        /** Sends the body in parts. */
        SENDS_SLOWLY,
        /** Asks for long responses and reads them in parts. */
        READS_SLOWLY
    }

    /** A request that was sent and whose response is awaited. */
    private record Pending(String id, String route, SoakCallPath path) {
        boolean isStream() {
            return route.equals("/gen/");
        }
    }

    SoakKeptClient(
            Habit habit, int edgeIndex, InetSocketAddress edge, SoakRecorder recorder, long seed) {
        this.habit = habit;
        this.name = "%s-%d".formatted(habit, edgeIndex);
        this.edgeIndex = edgeIndex;
        this.edge = edge;
        this.recorder = recorder;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void run() {
        while (!stopped) {
            try (Socket socket = connect()) {
                useConnection(socket);
            } catch (IOException e) {
                recorder.increment("kept connection ended");
                Http.sleep(RECONNECT_PAUSE_MILLIS);
            }
        }
    }

    @Override
    public void stop() {
        stopped = true;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        if (habit == Habit.READS_SLOWLY) {
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        }
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        try {
            socket.connect(edge, CONNECT_TIMEOUT_MILLIS);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        return socket;
    }

    /** Sends requests until the edge announces the end of the connection or closes it. */
    private void useConnection(Socket socket) throws IOException {
        boolean open = true;
        while (open && !stopped) {
            Queue<Pending> pending = new ArrayDeque<>();
            send(socket.getOutputStream(), pending);
            open = readResponses(socket.getInputStream(), pending);
            Http.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        }
    }

    private void send(OutputStream out, Queue<Pending> pending) throws IOException {
        int count = habit == Habit.PIPELINES ? 2 + random.nextInt(MAX_PIPELINED - 1) : 1;
        StringBuilder heads = new StringBuilder();
        for (int i = 0; i < count; i++) {
            Pending next = drawRequest();
            recorder.recordSent(next.id());
            pending.add(next);
            heads.append(formatHead(next));
            if (habit != Habit.SENDS_SLOWLY) {
                heads.append(BODY);
            }
        }
        if (habit == Habit.SENDS_SLOWLY) {
            out.write(Http.toBytes(heads + BODY.substring(0, BODY_PARTS - 1)));
            for (int i = 1; i < BODY_PARTS; i++) {
                Http.sleep(random.nextInt(MAX_BODY_PAUSE_MILLIS));
            }
            heads = new StringBuilder(BODY.substring(BODY_PARTS - 1));
        }
        pending.forEach(p -> recorder.calls().recordSentWhole(p.id(), name, edgeIndex));
        try {
            out.write(Http.toBytes(heads.toString()));
        } catch (IOException e) {
            pending.forEach(p -> recorder.calls().recordNotSent(p.id()));
            throw e;
        }
    }

    private Pending drawRequest() {
        String id = "%s-%d".formatted(name, ++requestCount);
        int kind = random.nextInt(10);
        int bytes = habit == Habit.READS_SLOWLY ? random.nextInt(MAX_RESPONSE_BYTES) : 0;
        String route = kind < 4 ? "/once/" : kind < 8 ? "/safe/" : "/gen/";
        return new Pending(id, route, new SoakCallPath(drawDelayMillis(), bytes));
    }

    /** Returns no delay, a short one, or one that may last to the end of an edge's grace. */
    private long drawDelayMillis() {
        return switch (random.nextInt(6)) {
            case 0 -> random.nextInt(MAX_DELAY_MILLIS);
            case 1, 2, 3 -> random.nextInt(MAX_SHORT_DELAY_MILLIS);
            default -> 0;
        };
    }

    private static String formatHead(Pending request) {
        return ("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                        + "X-Request-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n"
                        + "Content-Length: %d\r\n\r\n")
                .formatted(
                        request.path().format(request.route(), request.id()),
                        request.id(),
                        DEADLINE_MILLIS,
                        BODY.length());
    }

    /** Reads the responses in order; returns whether the connection may be used again. */
    private boolean readResponses(InputStream in, Queue<Pending> pending) throws IOException {
        boolean open = true;
        try {
            while (!pending.isEmpty()) {
                open &= readResponse(in, pending.peek());
                pending.remove();
            }
        } catch (IOException e) {
            String cause = "%s, close announced: %s".formatted(e.getMessage(), !open);
            pending.forEach(p -> recorder.calls().recordCut(p.id(), cause));
            throw e;
        }
        return open;
    }

    private boolean readResponse(InputStream in, Pending request) throws IOException {
        String head = SoakWire.readHead(in);
        int status = SoakWire.parseStatus(head);
        Matcher length = LENGTH.matcher(head);
        if (length.find()) {
            checkBody(request, status, readBody(in, Integer.parseInt(length.group(1))));
        } else if (request.isStream() && status == 200) {
            readStream(in);
        } else {
            recorder.recordViolation(
                    "response without a length to %s: %s".formatted(request, head));
            throw new IOException("response without a length");
        }
        recorder.increment("%s status %d".formatted(habit, status));
        if (SoakClient.NOT_RUN_STATUSES.contains(status)) {
            recorder.recordNotRun(request.id());
        }
        return !SoakWire.announcesClose(head);
    }

    private void checkBody(Pending request, int status, String body) {
        if (status == 200 && !body.equals(request.path().responseBody(request.id()))) {
            recorder.recordViolation("request %s got a wrong response".formatted(request.id()));
        }
    }

    private String readBody(InputStream in, int byteCount) throws IOException {
        StringBuilder body = new StringBuilder();
        while (body.length() < byteCount) {
            byte[] part = in.readNBytes(Math.min(SLOW_READ_BYTES, byteCount - body.length()));
            if (part.length == 0) {
                throw new IOException(
                        "body ended after %d of %d bytes".formatted(body.length(), byteCount));
            }
            body.append(new String(part));
            if (habit == Habit.READS_SLOWLY) {
                Http.sleep(SLOW_READ_PAUSE_MILLIS);
            }
        }
        return body.toString();
    }

    private static void readStream(InputStream in) throws IOException {
        String chunk = SoakWire.readChunk(in);
        while (chunk != null && !chunk.isEmpty()) {
            chunk = SoakWire.readChunk(in);
        }
        if (chunk == null) {
            throw new IOException("stream ended early");
        }
    }
}
