package io.siskintrail.platform;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What callers, endpoints and the operator saw during a soak, and which promises that breaks.
 * Thread-safe.
 */
final class SoakEvidence {
    private final Set<String> sent = ConcurrentHashMap.newKeySet();
    private final Set<String> notRun = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<Long, String> configurations = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final AtomicLong acknowledged = new AtomicLong();

    /** Notes that a caller is about to send a request that may run once at most. */
    void sent(String requestId) {
        sent.add(requestId);
    }

    /** Notes that an endpoint began to run a request that may run once at most. */
    void ran(String requestId) {
        if (!sent.contains(requestId)) {
            broken("request %s ran, and nobody sent it".formatted(requestId));
        }
        int count = runs.computeIfAbsent(requestId, r -> new AtomicInteger()).incrementAndGet();
        if (count > 1) {
            broken("request %s ran %d times".formatted(requestId, count));
        }
    }

    /** Notes that a caller was told that its request has not run. */
    void notRun(String requestId) {
        notRun.add(requestId);
        counts("not run");
    }

    /** Notes that the operator is about to send a valid configuration. */
    void configured(long version, String content) {
        configurations.put(version, content);
    }

    /** Notes an acknowledgement. */
    void acknowledged(long version) {
        acknowledged.accumulateAndGet(version, Math::max);
        counts("acknowledged");
    }

    /** Returns the highest version that was acknowledged. */
    long acknowledged() {
        return acknowledged.get();
    }

    /** Notes what was read back by a question that was sent when {@code least} was acknowledged. */
    void readBack(long least, long version, String content) {
        counts("read back");
        if (version < least) {
            broken("version %d was read after %d was acknowledged".formatted(version, least));
        }
        if (!content.equals(configurations.get(version))) {
            broken("version %d was read back with other content".formatted(version));
        }
    }

    /** Counts something, for the summary. */
    void counts(String what) {
        counts.computeIfAbsent(what, w -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns how often {@code what} was counted. */
    int count(String what) {
        return counts.getOrDefault(what, new AtomicInteger()).get();
    }

    /** Notes a broken promise. */
    void broken(String what) {
        broken.add(what);
    }

    /** Returns the promises that were broken, when all callers have ended. */
    List<String> verdict() {
        for (String id : notRun) {
            if (runs.containsKey(id)) {
                broken("request %s was told as not run, and ran".formatted(id));
            }
        }
        return List.copyOf(broken);
    }

    @Override
    public String toString() {
        return new TreeMap<>(counts).toString();
    }
}
