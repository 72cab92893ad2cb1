package io.siskintrail.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

/**
 * Times of the requests that clients sent whole to an edge, and of the signals to the edges. Finds
 * the requests that got neither a response nor a refusal. Only planned work and endpoints that fall
 * silent may happen while requests are recorded. Thread-safe.
 */
final class SoakCalls {
    /** Time in which a request may cross the close of its connection. */
    private static final long CROSSING_MILLIS = 200;

    /** Shortest timeout of a route; a request that was cut later may have reached its timeout. */
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final long GRACE_MILLIS = TimeUnit.SECONDS.toMillis(SoakSystem.GRACE_SECONDS);

    /** Last part of the grace, in which an edge may end a request whose endpoint still works. */
    private static final long END_OF_GRACE_MILLIS = GRACE_MILLIS / 6;

    /** Time after SIGTERM up to which the end of the grace excuses a request that was cut. */
    private static final long EXCUSED_AFTER_SIGNAL_MILLIS = 3_000;

    private final Map<String, Call> calls = new ConcurrentHashMap<>();
    private final Map<Integer, NavigableMap<Long, String>> signals = new ConcurrentHashMap<>();

    /** One request of a client; times in milliseconds of the system clock, 0 if not reached. */
    private static final class Call {
        private final String requestId;
        private final String client;
        private final int edgeIndex;
        private final long sentMillis;
        private volatile long arrivedMillis;
        private volatile long workEndedMillis;
        private volatile int arrivalsAtWork;
        private volatile long cutMillis;
        private volatile String cause = "";

        Call(String requestId, String client, int edgeIndex) {
            this.requestId = requestId;
            this.client = client;
            this.edgeIndex = edgeIndex;
            this.sentMillis = System.currentTimeMillis();
        }

        synchronized void arrive() {
            arrivalsAtWork++;
            if (arrivedMillis == 0) {
                arrivedMillis = System.currentTimeMillis();
            }
        }

        synchronized void endWork() {
            arrivalsAtWork--;
            workEndedMillis = System.currentTimeMillis();
        }

        boolean isCut() {
            return cutMillis > 0;
        }

        boolean worksAt(long timeMillis) {
            return arrivedMillis > 0 && (arrivalsAtWork > 0 || workEndedMillis >= timeMillis);
        }
    }

    /**
     * Records that the last byte of a request is about to be sent. An endpoint may see the request
     * before the write returns.
     */
    void recordSentWhole(String requestId, String client, int edgeIndex) {
        calls.put(requestId, new Call(requestId, client, edgeIndex));
    }

    /** Records that the last bytes of a request could not be written. */
    void recordNotSent(String requestId) {
        calls.remove(requestId);
    }

    /** Records that an endpoint received a request; ignores requests of other clients. */
    void recordArrival(String requestId) {
        Call call = calls.get(requestId);
        if (call != null) {
            call.arrive();
        }
    }

    /** Records that an endpoint has finished a request that it received. */
    void recordWorkEnded(String requestId) {
        Call call = calls.get(requestId);
        if (call != null) {
            call.endWork();
        }
    }

    /** Records that a connection ended, or stayed silent, before the response was complete. */
    void recordCut(String requestId, String cause) {
        Call call = calls.get(requestId);
        if (call != null) {
            call.cause = cause;
            call.cutMillis = System.currentTimeMillis();
        }
    }

    /** Records that a signal is about to be sent to an edge. */
    void recordSignal(int edgeIndex, String signal) {
        signals.computeIfAbsent(edgeIndex, e -> new ConcurrentSkipListMap<>())
                .merge(System.currentTimeMillis(), signal, (a, b) -> a + "+" + b);
    }

    /** Returns the description of each request that was lost; call after all clients have ended. */
    List<String> findLost() {
        List<String> lost = new ArrayList<>();
        for (Call call : calls.values()) {
            if (call.isCut() && isLost(call)) {
                lost.add(describe(call));
            }
        }
        return lost;
    }

    /** Returns how many requests were cut, and how many of them had reached an endpoint. */
    String countCut() {
        long cut = calls.values().stream().filter(Call::isCut).count();
        long arrived =
                calls.values().stream()
                        .filter(call -> call.isCut() && call.arrivedMillis > 0)
                        .count();
        return "%d of %d, %d of them at an endpoint".formatted(cut, calls.size(), arrived);
    }

    private boolean isLost(Call call) {
        long elapsedMillis = call.cutMillis - call.sentMillis;
        if (call.arrivedMillis == 0) {
            return elapsedMillis > CROSSING_MILLIS;
        }
        return elapsedMillis < TIMEOUT_MILLIS && !isExcusedByEndOfGrace(call);
    }

    private boolean isExcusedByEndOfGrace(Call call) {
        NavigableMap<Long, String> stops = new ConcurrentSkipListMap<>();
        signals.getOrDefault(call.edgeIndex, stops)
                .headMap(call.cutMillis, true)
                .forEach((time, signal) -> stops.put(time, signal));
        stops.values().removeIf(signal -> !signal.startsWith("TERM"));
        if (stops.isEmpty()) {
            return false;
        }
        long stopMillis = stops.lastKey();
        return call.sentMillis <= stopMillis + EXCUSED_AFTER_SIGNAL_MILLIS
                && call.cutMillis >= stopMillis + GRACE_MILLIS - END_OF_GRACE_MILLIS
                && call.worksAt(stopMillis + GRACE_MILLIS - END_OF_GRACE_MILLIS);
    }

    private String describe(Call call) {
        return "LOST %s of %s, edge %d: sent %d, arrived %s, work ended %s, cut %s (%s), signals %s"
                .formatted(
                        call.requestId,
                        call.client,
                        call.edgeIndex,
                        call.sentMillis,
                        since(call, call.arrivedMillis),
                        since(call, call.workEndedMillis),
                        since(call, call.cutMillis),
                        call.cause,
                        describeSignals(call));
    }

    private String describeSignals(Call call) {
        List<String> near = new ArrayList<>();
        signals.getOrDefault(call.edgeIndex, new ConcurrentSkipListMap<>())
                .subMap(call.sentMillis - 2 * GRACE_MILLIS, call.cutMillis + GRACE_MILLIS)
                .forEach((time, signal) -> near.add(signal + " " + since(call, time)));
        return near.toString();
    }

    private static String since(Call call, long timeMillis) {
        return timeMillis == 0 ? "never" : "%+d ms".formatted(timeMillis - call.sentMillis);
    }
}
