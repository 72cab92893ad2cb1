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
 * Records what clients, endpoints and the operator observe during a soak run, and which guarantees
 * were violated. Thread-safe.
 */
final class SoakRecorder {
    private final Set<String> sentRequests = ConcurrentHashMap.newKeySet();

    /** Ids of the requests that a client was told have not run. */
    private final Set<String> notRun = ConcurrentHashMap.newKeySet();

    /** Number of runs by request id. */
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private final Map<Long, String> configurations = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicLong highestAcknowledged = new AtomicLong();
    private final SoakCalls calls = new SoakCalls();
    private final SoakSecondAnswers secondAnswers = new SoakSecondAnswers(this);

    /** Returns the requests of the clients that keep their connections. */
    SoakCalls calls() {
        return calls;
    }

    /** Returns the runs at the endpoints that answer twice. */
    SoakSecondAnswers secondAnswers() {
        return secondAnswers;
    }

    /** Records that a client is about to send a request that may run at most once. */
    void recordSent(String requestId) {
        sentRequests.add(requestId);
    }

    /** Records that an endpoint began to run a request that may run at most once. */
    void recordRun(String requestId) {
        if (!sentRequests.contains(requestId)) {
            recordViolation("request %s ran, but no client sent it".formatted(requestId));
        }
        int count = runs.computeIfAbsent(requestId, r -> new AtomicInteger()).incrementAndGet();
        if (count > 1) {
            recordViolation("request %s ran %d times".formatted(requestId, count));
        }
    }

    /** Records that a client was told that its request has not run. */
    void recordNotRun(String requestId) {
        notRun.add(requestId);
        increment("not run");
    }

    /** Records that the operator is about to send a valid configuration. */
    void recordSentConfiguration(long version, String content) {
        configurations.put(version, content);
    }

    /** Records that a registry acknowledged a configuration. */
    void recordAcknowledgement(long version) {
        highestAcknowledged.accumulateAndGet(version, Math::max);
        increment("acknowledged");
    }

    /** Returns the highest acknowledged version, 0 if there is none. */
    long highestAcknowledgedVersion() {
        return highestAcknowledged.get();
    }

    /**
     * Records a configuration that was read.
     *
     * @param acknowledgedVersion highest version acknowledged before the read was sent
     * @param version version that the read returned
     * @param content configuration that the read returned
     */
    void recordRead(long acknowledgedVersion, long version, String content) {
        increment("read back");
        if (version < acknowledgedVersion) {
            recordViolation(
                    "version %d was read although %d had been acknowledged"
                            .formatted(version, acknowledgedVersion));
        }
        if (!content.equals(configurations.get(version))) {
            recordViolation("version %d was read back with different content".formatted(version));
        }
    }

    /** Increments a counter of the summary. */
    void increment(String counter) {
        counts.computeIfAbsent(counter, c -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns the value of a counter, 0 if it was never incremented. */
    int count(String counter) {
        return counts.getOrDefault(counter, new AtomicInteger()).get();
    }

    /** Records a violated guarantee. */
    void recordViolation(String violation) {
        violations.add(violation);
    }

    /** Returns all violations; call after all clients have ended. */
    List<String> violations() {
        for (String id : notRun) {
            if (runs.containsKey(id)) {
                recordViolation("request %s was reported as not run, but ran".formatted(id));
            }
        }
        calls.findLost().forEach(this::recordViolation);
        secondAnswers.findFaults().forEach(this::recordViolation);
        return List.copyOf(violations);
    }

    @Override
    public String toString() {
        return new TreeMap<>(counts).toString();
    }
}
