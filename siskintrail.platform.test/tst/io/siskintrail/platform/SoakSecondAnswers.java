package io.siskintrail.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs of requests at endpoints that answer twice. Checks that what a client received is the first
 * answer that one run of its request wrote. Thread-safe.
 */
final class SoakSecondAnswers {
    private static final int SHOWN_BYTES = 60;

    private final Map<Integer, Run> runs = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> sentCounts = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> executedCounts = new ConcurrentHashMap<>();

    /** Ids of the requests that a client was told have not run. */
    private final Set<String> notRun = ConcurrentHashMap.newKeySet();

    private final AtomicInteger lastRun = new AtomicInteger();
    private final SoakRecorder recorder;

    SoakSecondAnswers(SoakRecorder recorder) {
        this.recorder = recorder;
    }

    /**
     * One arrival of a request at an endpoint, recorded before its answers are written.
     *
     * @param number number of the run, from 1
     * @param firstEvent the event that a stream of this run begins with
     * @param first the first answer, null if it is lost
     * @param second the second answer, null if there is none
     */
    record Run(int number, String requestId, int firstEvent, Answer first, Answer second) {

        /** Returns the answer that stands for the run; null if it has none. */
        Answer valid() {
            return first != null ? first : second;
        }

        boolean isExecuted() {
            Answer valid = valid();
            return valid == null || !SoakClient.NOT_RUN_STATUSES.contains(valid.status());
        }
    }

    /**
     * One answer of a run.
     *
     * @param signature number of the run and of the answer
     * @param body whole body of an answer to a call, null for a stream of events
     */
    record Answer(int status, String signature, String body) {}

    /**
     * An answer as a client received it whole.
     *
     * @param id value of the header with the request's ID, null if it is missing
     * @param signature value of the endpoint's signature, null if it is missing
     * @param body whole body, null for a stream of events
     */
    record Received(int status, String id, String signature, String body) {}

    /** Returns the number of the next run. */
    int nextRun() {
        return lastRun.incrementAndGet();
    }

    /** Records a run whose answers are about to be written. */
    void recordRun(Run run, boolean atMostOnce) {
        runs.put(run.number(), run);
        recorder.increment("first " + (run.first() == null ? "lost" : run.first().status()));
        if (atMostOnce && run.isExecuted()) {
            executedCounts
                    .computeIfAbsent(run.requestId(), r -> new AtomicInteger())
                    .incrementAndGet();
        }
    }

    /** Records that a client is about to send a request, once or once more. */
    void recordSent(String requestId) {
        sentCounts.computeIfAbsent(requestId, r -> new AtomicInteger()).incrementAndGet();
    }

    /** Checks a response that a client received whole. */
    void check(String requestId, Received received) {
        int status = received.status();
        if (received.id() != null && !received.id().equals(requestId)) {
            violate(requestId, received, "carries another ID");
        }
        if (received.signature() == null) {
            if (status < 300) {
                violate(requestId, received, "is an unsigned success");
            } else if (SoakClient.NOT_RUN_STATUSES.contains(status)) {
                notRun.add(requestId);
            }
            return;
        }
        Run run = findRun(received.signature());
        if (run == null || !run.requestId().equals(requestId)) {
            violate(requestId, received, "has the signature of another request");
            return;
        }
        Answer valid = run.valid();
        if (!received.signature().equals(valid.signature())) {
            violate(requestId, received, "is a second answer");
        } else if (status != valid.status()) {
            violate(requestId, received, "has another status than the run's answer");
        } else if (received.body() != null && !received.body().equals(valid.body())) {
            violate(requestId, received, "has another body than the run's answer");
        } else if (run.first() == null) {
            recorder.increment("late second answer in place of a lost first one");
        }
    }

    /**
     * Checks one event of a stream.
     *
     * @param previous signature of the event before or of the head
     * @param signature signature in the event
     * @param event number of the event
     */
    void checkEvent(String requestId, String previous, String signature, int event) {
        Run run = findRun(signature);
        if (run == null || !run.requestId().equals(requestId)) {
            violateStream(requestId, signature, event, "is of another request");
        } else if (run.valid().status() != 200 || !run.valid().signature().equals(signature)) {
            violateStream(requestId, signature, event, "is of a second answer");
        } else if (!signature.equals(previous)) {
            Run before = findRun(previous);
            recorder.increment("stream resumed");
            if (before == null || before.number() > run.number() || run.firstEvent() != event) {
                violateStream(requestId, signature, event, "mixes two runs, after " + previous);
            }
        }
    }

    /** Returns the faults that only the whole record shows; call after all clients have ended. */
    List<String> findFaults() {
        List<String> faults = new ArrayList<>();
        executedCounts.forEach(
                (id, count) -> {
                    int sent = sentCounts.getOrDefault(id, new AtomicInteger()).get();
                    if (count.get() > sent) {
                        faults.add("request %s, sent %d times, ran %s".formatted(id, sent, count));
                    }
                    if (sent == 1 && notRun.contains(id)) {
                        faults.add("request %s was reported as not run, but ran".formatted(id));
                    }
                });
        return faults;
    }

    private Run findRun(String signature) {
        return runs.get(Integer.parseInt(signature.substring(0, signature.indexOf('.'))));
    }

    private void violate(String requestId, Received received, String fault) {
        String body = received.body() == null ? "(stream)" : received.body();
        recorder.recordViolation(
                "WRONG ANSWER to %s %s: status %d, ID %s, signature %s, body %s; runs %s"
                        .formatted(
                                requestId,
                                fault,
                                received.status(),
                                received.id(),
                                received.signature(),
                                abbreviate(body),
                                describeRuns(requestId)));
        recorder.increment("wrong answer: " + fault);
    }

    /** Returns the begin and the end of a body, and its length in bytes. */
    private static String abbreviate(String body) {
        int length = body.length();
        return length <= 2 * SHOWN_BYTES
                ? body.trim()
                : "%s ... %s (%d bytes)"
                        .formatted(
                                body.substring(0, SHOWN_BYTES),
                                body.substring(length - SHOWN_BYTES).trim(),
                                length);
    }

    private void violateStream(String requestId, String signature, int event, String fault) {
        recorder.recordViolation(
                "WRONG STREAM %s: event %d of %s %s; runs %s"
                        .formatted(requestId, event, signature, fault, describeRuns(requestId)));
        recorder.increment("wrong stream");
    }

    private String describeRuns(String requestId) {
        List<String> found = new ArrayList<>();
        for (Run run : runs.values()) {
            if (run.requestId().equals(requestId)) {
                found.add(
                        "%d (first %s, second %s)"
                                .formatted(
                                        run.number(),
                                        describe(run.first()),
                                        describe(run.second())));
            }
        }
        return found.toString();
    }

    private static String describe(Answer answer) {
        return answer == null ? "none" : "" + answer.status();
    }
}
