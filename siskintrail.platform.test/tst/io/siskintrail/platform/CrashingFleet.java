package io.siskintrail.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines that crash when a request has a certain part in its prompt and answer all others. A
 * crashed engine comes back under another id.
 */
final class CrashingFleet implements AutoCloseable {
    private static final long RENEWAL_MILLIS = 500;
    private static final long RUN_MILLIS = 300;
    private static final long RESTART_MILLIS = 1_500;
    private static final int EVENTS = 6;
    private static final long EVENT_MILLIS = 20;

    private final LoopbackSystem system;
    private final String crashingPart;
    private final String service;
    private final long bornMillis = System.currentTimeMillis();
    private final Map<String, ScriptedEndpoint> engines = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger(1);
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private final Set<String> arrivedBodies = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

    /** Starts {@code count} engines of {@code service} and registers them. */
    CrashingFleet(LoopbackSystem system, String crashingPart, String service, int count)
            throws Exception {
        this.service = service;
        this.system = system;
        this.crashingPart = crashingPart;
        for (int i = 0; i < count; i++) {
            startEngine();
        }
        timer.scheduleAtFixedRate(
                this::renewAll, RENEWAL_MILLIS, RENEWAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns when engines crashed, in nanoseconds of the JVM. */
    List<Long> crashes() {
        return crashes;
    }

    /** Returns when requests with the part arrived, in nanoseconds of the JVM. */
    List<Long> arrivals() {
        return arrivals;
    }

    /** Returns whether a request with the part and this body arrived. */
    boolean hasReceived(String body) {
        return arrivedBodies.contains(body);
    }

    /** Returns the number of requests with the part that arrived after {@code nanos}. */
    long arrivalsAfter(long nanos) {
        return arrivals.stream().filter(at -> at - nanos > 0).count();
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        for (ScriptedEndpoint engine : engines.values()) {
            engine.close();
        }
    }

    private void startEngine() throws Exception {
        String id = "i-" + ids.incrementAndGet();
        ScriptedEndpoint engine =
                new ScriptedEndpoint((number, request, out) -> respond(id, request, out));
        engines.put(id, engine);
        renew(id, engine);
    }

    private boolean respond(String id, ScriptedEndpoint.ReceivedRequest request, OutputStream out)
            throws IOException {
        if (!request.header("X-Prompt-Prefix").contains(crashingPart)) {
            return answer(request, out);
        }
        arrivals.add(System.nanoTime());
        arrivedBodies.add(request.body());
        Http.sleep(RUN_MILLIS);
        ScriptedEndpoint engine = engines.remove(id);
        if (engine != null) {
            engine.crash();
            crashes.add(System.nanoTime());
            timer.schedule(this::restart, RESTART_MILLIS, TimeUnit.MILLISECONDS);
        }
        return false;
    }

    private static boolean answer(ScriptedEndpoint.ReceivedRequest request, OutputStream out)
            throws IOException {
        String last = request.header("Last-Event-Id");
        Http.sleep(EVENT_MILLIS);
        Http.writeStreamHead(request, out);
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            Http.writeEvent(out, i);
            Http.sleep(EVENT_MILLIS);
        }
        Http.writeLastChunk(out);
        return true;
    }

    private void restart() {
        try {
            startEngine();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void renewAll() {
        try {
            sequence.incrementAndGet();
            for (Map.Entry<String, ScriptedEndpoint> engine : new ArrayList<>(engines.entrySet())) {
                renew(engine.getKey(), engine.getValue());
            }
        } catch (Exception e) {
            // The registry restarts; the next renewal reaches it.
            return;
        }
    }

    private void renew(String id, ScriptedEndpoint engine) throws Exception {
        String json =
                """
                {"service":"%s","address":"%s","zone":"a","version":"v1","slots":4,
                 "state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}
                """
                        .formatted(service, engine.address(), sequence.get(), bornMillis);
        system.callRegistry("PUT", "/api/replicas/" + id, json);
    }
}
