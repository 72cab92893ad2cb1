package io.siskintrail.fake;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** What the connections of one fake service share. Safe for use by several threads. */
final class ServiceState {
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final Map<String, Integer> requests = new ConcurrentHashMap<>();
    private final AtomicReference<ServiceFault> fault = new AtomicReference<>(ServiceFault.NONE);
    private final AtomicInteger running = new AtomicInteger();
    private final int answerMillis;
    private volatile boolean paused;
    private volatile Consumer<CallPhase> listener = phase -> {};

    ServiceState(int answerMillis) {
        this.answerMillis = answerMillis;
    }

    int answerMillis() {
        return answerMillis;
    }

    boolean paused() {
        return paused;
    }

    void setPaused(boolean paused) {
        this.paused = paused;
    }

    void setListener(Consumer<CallPhase> next) {
        listener = next;
    }

    void reached(CallPhase phase) {
        listener.accept(phase);
    }

    void inject(ServiceFault next) {
        fault.set(next);
    }

    ServiceFault takeFault() {
        return fault.getAndSet(ServiceFault.NONE);
    }

    /** Executes a call; returns how often that happened so far with its key. */
    int execute(String key, String requestId) {
        running.incrementAndGet();
        requests.merge(requestId, 1, Integer::sum);
        return executions.merge(key, 1, Integer::sum);
    }

    void answered() {
        running.decrementAndGet();
    }

    int running() {
        return running.get();
    }

    int executionsOfRequest(String requestId) {
        return requests.getOrDefault(requestId, 0);
    }

    Map<String, Integer> executions() {
        return new TreeMap<>(executions);
    }
}
