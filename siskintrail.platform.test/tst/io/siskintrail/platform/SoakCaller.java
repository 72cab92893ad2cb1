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
 * A client that keeps its connections until they end, and checks each answer. Used by one thread.
 */
final class SoakCaller implements Runnable {
    private static final int SILENCE_MILLIS = 9_000;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 15;
    private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: t(\\d+)\n\n");

    private final int number;
    private final List<FaultProxy> edges;
    private final SoakEvidence evidence;
    private final SplittableRandom random;
    private final Map<FaultProxy, Socket> kept = new HashMap<>();
    private int requests;
    private volatile boolean over;

    SoakCaller(int number, List<FaultProxy> edges, SoakEvidence evidence, long seed) {
        this.number = number;
        this.edges = edges;
        this.evidence = evidence;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void run() {
        while (!over) {
            request();
            Http.pause(random.nextLong(2 * PAUSE_MILLIS));
        }
        kept.values().forEach(SoakCaller::close);
    }

    void stop() {
        over = true;
    }

    private void request() {
        String id = "c%d-%d".formatted(number, ++requests);
        int kind = random.nextInt(10);
        FaultProxy edge = edges.get(random.nextInt(edges.size()));
        try {
            Socket socket = connection(edge);
            if (kind < 4) {
                evidence.sent(id);
                call(edge, socket, id, "/once/" + id, "key-1");
            } else if (kind < 6) {
                call(edge, socket, id, "/safe/" + id, "key-1");
            } else if (kind < 7) {
                call(edge, socket, id, "/once/" + id, "nobody's");
            } else {
                stream(edge, socket, id);
            }
        } catch (IOException e) {
            evidence.counts("connection lost");
            close(kept.remove(edge));
        }
    }

    private void call(FaultProxy edge, Socket socket, String id, String path, String key)
            throws IOException {
        InputStream in = send(socket, id, path, key, -1);
        String head = head(in);
        int status = status(head);
        Matcher length = LENGTH.matcher(head);
        if (!length.find()) {
            evidence.broken("an answer to a call has no length: " + head);
            throw new IOException("no length");
        }
        int bytes = Integer.parseInt(length.group(1));
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) {
            throw new IOException("the body ended early");
        }
        note(id, status);
        boolean right = new String(body).equals("answer to " + id);
        if (status == 200 && !(right && head.contains("X-Replica-Signature"))) {
            evidence.broken("request %s got another answer".formatted(id));
        }
        if (!key.equals("key-1") && status < 400) {
            evidence.broken("a key of nobody got status " + status);
        }
        closeIfAsked(edge, head);
    }

    private void stream(FaultProxy edge, Socket socket, String id) throws IOException {
        int last = 0;
        int from = random.nextInt(3) == 0 ? 1 + random.nextInt(SoakEngine.EVENTS / 2) : 0;
        InputStream in = send(socket, id, "/gen/" + id, "key-1", from);
        String head = head(in);
        int status = status(head);
        if (status != 200) {
            note(id, status);
            close(kept.remove(edge));
            return;
        }
        last = from;
        StringBuilder text = new StringBuilder();
        String chunk = chunk(in);
        while (chunk != null && !chunk.isEmpty()) {
            text.append(chunk);
            last = events(id, text, last);
            chunk = chunk(in);
        }
        if (chunk == null) {
            throw new IOException("the stream ended early");
        }
        evidence.counts("stream 200");
        if (last != SoakEngine.EVENTS || text.length() > 0) {
            evidence.broken("stream %s looks complete after event %d".formatted(id, last));
        }
        closeIfAsked(edge, head);
    }

    /** Checks the events in {@code text} and removes them; returns the last one. */
    private int events(String id, StringBuilder text, int before) {
        int last = before;
        Matcher event = EVENT.matcher(text);
        int end = 0;
        while (event.find()) {
            int next = Integer.parseInt(event.group(1));
            if (next != last + 1 || !event.group(1).equals(event.group(2))) {
                evidence.broken("stream %s has event %d behind %d".formatted(id, next, last));
            }
            last = next;
            end = event.end();
        }
        text.delete(0, end);
        return last;
    }

    private InputStream send(Socket socket, String id, String path, String key, int lastEvent)
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
                                lastEvent > 0 ? "Last-Event-Id: %d\r\n".formatted(lastEvent) : "");
        socket.getOutputStream().write(Http.text(request));
        return socket.getInputStream();
    }

    private void note(String id, int status) {
        evidence.counts("status " + status);
        if (PROMISES.contains(status)) {
            evidence.notRun(id);
        }
    }

    private Socket connection(FaultProxy edge) throws IOException {
        Socket socket = kept.get(edge);
        if (socket != null) {
            return socket;
        }
        String[] address = edge.address().split(":");
        Socket next = new Socket(address[0], Integer.parseInt(address[1]));
        next.setSoTimeout(SILENCE_MILLIS);
        kept.put(edge, next);
        return next;
    }

    private void closeIfAsked(FaultProxy edge, String head) {
        if (head.toLowerCase().contains("connection: close")) {
            close(kept.remove(edge));
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static int status(String head) throws IOException {
        if (!head.startsWith("HTTP/1.1 ")) {
            throw new IOException("no answer: " + head);
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    /** Returns the next chunk, empty at the end, null when the stream ended early. */
    private static String chunk(InputStream in) throws IOException {
        StringBuilder size = new StringBuilder();
        while (size.indexOf("\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            size.append((char) b);
        }
        int bytes = Integer.parseInt(size.substring(0, size.length() - 2), 16);
        byte[] data = in.readNBytes(bytes + 2);
        return data.length < bytes + 2 ? null : new String(data, 0, bytes);
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Nothing more is sent or read on it.
            return;
        }
    }
}
