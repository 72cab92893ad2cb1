package io.siskintrail.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** An endpoint of both services behind a proxy, which misbehaves as told. Thread-safe. */
final class SoakEngine implements AutoCloseable {
    /** Events of a whole stream. */
    static final int EVENTS = 12;

    private static final long EVENT_MILLIS = 25;
    private static final long SLOW_MILLIS = 400;

    private final StandIn server;
    private final FaultProxy proxy;
    private final SoakEvidence evidence;
    private final String service;
    private final String name;
    private final AtomicLong sequence = new AtomicLong();
    private final long born = System.currentTimeMillis();
    private final String id;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean leaves;
    private volatile Mood mood = Mood.SOUND;

    /** How an endpoint treats requests. */
    enum Mood {
        SOUND,
        SLOW,
        /** Runs a request and closes the connection. */
        LOSES_ANSWERS,
        REFUSES,
        /** Runs a request and answers with bytes that are no answer. */
        GARBLES
    }

    SoakEngine(String name, String service, InetAddress ip, SoakEvidence evidence)
            throws IOException {
        this.name = name;
        this.service = service;
        this.evidence = evidence;
        this.id = name + "-" + born;
        server = new StandIn((n, request, out) -> answer(request, out));
        String[] parts = server.address().split(":");
        proxy = new FaultProxy(ip, new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
    }

    FaultProxy proxy() {
        return proxy;
    }

    void mood(Mood next) {
        mood = next;
    }

    /** Returns how many requests have come. */
    int requests() {
        return requests.get();
    }

    /** Begins to leave; the next report says so. */
    void leave() {
        leaves = true;
    }

    /** Reports to a registry; returns whether it acknowledged that. */
    boolean report(SoakOperator operator) {
        String body =
                """
                {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":64,"state":"%s",
                 "coldRemainingMs":0,"sequence":%d,"born":%d}
                """
                        .formatted(
                                service,
                                proxy.address(),
                                name.substring(name.length() - 1),
                                leaves ? "draining" : "ready",
                                sequence.incrementAndGet(),
                                born);
        return operator.ask("PUT", "/api/replicas/" + id, body).status() == 200;
    }

    @Override
    public void close() throws IOException {
        server.close();
        proxy.close();
    }

    private boolean answer(StandIn.Seen request, OutputStream out) throws IOException {
        if (!isForMe(request)) {
            out.write(Http.text("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        Mood now = mood;
        if (now == Mood.REFUSES) {
            out.write(
                    Http.text("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        String requestId = request.header("X-Request-Id");
        boolean once = request.head().startsWith("POST /once/");
        if (once) {
            evidence.ran(requestId);
        }
        if (now == Mood.SLOW) {
            Http.pause(SLOW_MILLIS);
        }
        if (now == Mood.GARBLES) {
            out.write(Http.text("\u0001 no answer \r\n\r\n"));
            return false;
        }
        if (request.head().startsWith("POST /gen/")) {
            return stream(request, out, now);
        }
        if (now == Mood.LOSES_ANSWERS) {
            return false;
        }
        out.write(StandIn.signed(request, 200, "", "answer to " + requestId));
        return true;
    }

    private boolean stream(StandIn.Seen request, OutputStream out, Mood now) throws IOException {
        String last = request.header("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        Http.beginStream(request, out);
        for (int i = from; i <= EVENTS; i++) {
            if (now == Mood.LOSES_ANSWERS && i - from == EVENTS / 3) {
                return false;
            }
            Http.event(out, i);
            Http.pause(EVENT_MILLIS);
        }
        Http.endChunks(out);
        return true;
    }

    /** Checks what no request may show; returns whether it was meant for this incarnation. */
    private boolean isForMe(StandIn.Seen request) {
        for (String header : List.of("Authorization", "X-Hold", "X-Pin-Ms")) {
            if (request.header(header) != null) {
                evidence.broken(header + " was passed on");
            }
        }
        if (!"acme".equals(request.header("X-Tenant"))) {
            evidence.broken("a request came without its account");
        }
        requests.incrementAndGet();
        return id.equals(request.header("X-Expect-Replica"));
    }
}
