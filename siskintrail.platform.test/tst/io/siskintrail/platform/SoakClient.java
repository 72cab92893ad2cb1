package io.siskintrail.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends requests over persistent connections and checks each response. Used by one thread, except
 * for {@link #stop}.
 */
final class SoakClient implements SoakClients.Client {
    private static final int READ_TIMEOUT_MILLIS = 9_000;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final long MEAN_PAUSE_MILLIS = 15;
    static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: t(\\d+)\n\n");

    private final int clientNumber;
    private final List<FaultProxy> edges;
    private final SoakRecorder recorder;
    private final SplittableRandom random;
    private final Map<FaultProxy, Socket> connections = new HashMap<>();
    private int requestCount;
    private volatile boolean stopped;

    SoakClient(int clientNumber, List<FaultProxy> edges, SoakRecorder recorder, long seed) {
        this.clientNumber = clientNumber;
        this.edges = edges;
        this.recorder = recorder;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void run() {
        while (!stopped) {
            sendRequest();
            Http.sleep(random.nextLong(2 * MEAN_PAUSE_MILLIS));
        }
        connections.values().forEach(SoakClient::close);
    }

    @Override
    public void stop() {
        stopped = true;
    }

    private void sendRequest() {
        String id = "c%d-%d".formatted(clientNumber, ++requestCount);
        int kind = random.nextInt(10);
        FaultProxy edge = edges.get(random.nextInt(edges.size()));
        try {
            Socket socket = connect(edge);
            if (kind < 4) {
                recorder.recordSent(id);
                sendCall(edge, socket, id, "/once/" + id, "key-1");
            } else if (kind < 6) {
                sendCall(edge, socket, id, "/safe/" + id, "key-1");
            } else if (kind < 7) {
                sendCall(edge, socket, id, "/once/" + id, "unknown-key");
            } else {
                sendStream(edge, socket, id);
            }
        } catch (IOException e) {
            recorder.increment("connection lost");
            close(connections.remove(edge));
        }
    }

    private void sendCall(FaultProxy edge, Socket socket, String id, String path, String key)
            throws IOException {
        InputStream in = send(socket, id, path, key, -1);
        String head = SoakWire.readHead(in);
        int status = SoakWire.parseStatus(head);
        Matcher length = LENGTH.matcher(head);
        if (!length.find()) {
            recorder.recordViolation("response to a call has no content length: " + head);
            throw new IOException("response has no content length");
        }
        int byteCount = Integer.parseInt(length.group(1));
        byte[] body = in.readNBytes(byteCount);
        if (body.length < byteCount) {
            throw new IOException("response body ended early");
        }
        recordStatus(id, status);
        boolean correct = new String(body).equals("answer to " + id);
        if (status == 200 && !(correct && head.contains("X-Replica-Signature"))) {
            recorder.recordViolation("request %s got a wrong or unsigned response".formatted(id));
        }
        if (!key.equals("key-1") && status < 400) {
            recorder.recordViolation("an unknown API key got status " + status);
        }
        closeIfRequested(edge, head);
    }

    private void sendStream(FaultProxy edge, Socket socket, String id) throws IOException {
        int last = 0;
        int resumeAfter =
                random.nextInt(3) == 0 ? 1 + random.nextInt(SoakEndpoint.EVENT_COUNT / 2) : 0;
        InputStream in = send(socket, id, "/gen/" + id, "key-1", resumeAfter);
        String head = SoakWire.readHead(in);
        int status = SoakWire.parseStatus(head);
        if (status != 200) {
            recordStatus(id, status);
            close(connections.remove(edge));
            return;
        }
        last = resumeAfter;
        StringBuilder text = new StringBuilder();
        String chunk = SoakWire.readChunk(in);
        while (chunk != null && !chunk.isEmpty()) {
            text.append(chunk);
            last = checkEvents(id, text, last);
            chunk = SoakWire.readChunk(in);
        }
        if (chunk == null) {
            throw new IOException("stream ended early");
        }
        recorder.increment("stream 200");
        if (last != SoakEndpoint.EVENT_COUNT || text.length() > 0) {
            recorder.recordViolation(
                    "stream %s ended as complete after event %d".formatted(id, last));
        }
        closeIfRequested(edge, head);
    }

    /** Checks and removes the complete events in {@code text}; returns the last event id. */
    private int checkEvents(String id, StringBuilder text, int lastBefore) {
        int last = lastBefore;
        Matcher event = EVENT.matcher(text);
        int end = 0;
        while (event.find()) {
            int next = Integer.parseInt(event.group(1));
            if (next != last + 1 || !event.group(1).equals(event.group(2))) {
                recorder.recordViolation(
                        "stream %s has event %d after %d".formatted(id, next, last));
            }
            last = next;
            end = event.end();
        }
        text.delete(0, end);
        return last;
    }

    private InputStream send(Socket socket, String id, String path, String key, int lastEventId)
            throws IOException {
        String request =
                ("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                                + "X-Request-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"
                                + "X-Hold: forged\r\n%sContent-Length: 4\r\n\r\nbody")
                        .formatted(
                                path,
                                id,
                                DEADLINE_MILLIS,
                                key,
                                lastEventId > 0
                                        ? "Last-Event-Id: %d\r\n".formatted(lastEventId)
                                        : "");
        socket.getOutputStream().write(Http.toBytes(request));
        return socket.getInputStream();
    }

    private void recordStatus(String id, int status) {
        recorder.increment("status " + status);
        if (NOT_RUN_STATUSES.contains(status)) {
            recorder.recordNotRun(id);
        }
    }

    private Socket connect(FaultProxy edge) throws IOException {
        Socket socket = connections.get(edge);
        if (socket != null) {
            return socket;
        }
        String[] address = edge.address().split(":");
        Socket next = new Socket(address[0], Integer.parseInt(address[1]));
        next.setSoTimeout(READ_TIMEOUT_MILLIS);
        connections.put(edge, next);
        return next;
    }

    private void closeIfRequested(FaultProxy edge, String head) {
        if (SoakWire.announcesClose(head)) {
            close(connections.remove(edge));
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is not used any more.
            return;
        }
    }
}
