package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Limits how many lost generations recompute their prefix at the same time; the one that has waited
 * longest resumes first.
 */
final class RecoveryQueue {
    private final int concurrency;
    private final TreeSet<Waiting> waiting =
            new TreeSet<>(
                    Comparator.comparingLong(Waiting::since).thenComparing(Waiting::generation));
    private final Set<GenerationId> resuming = new HashSet<>();

    RecoveryQueue(int concurrency) {
        this.concurrency = concurrency;
    }

    /**
     * Queues a generation whose callers have waited since {@code since}; it resumes at {@code
     * notBefore} at the earliest.
     */
    void add(GenerationId generation, long since, long notBefore) {
        waiting.add(new Waiting(generation, since, notBefore));
    }

    /**
     * Removes and returns the next generation that may resume, or null; it now occupies a place.
     */
    GenerationId pollNext(long now) {
        if (resuming.size() >= concurrency) {
            return null;
        }
        for (Waiting waiter : waiting) {
            if (waiter.notBefore <= now) {
                waiting.remove(waiter);
                resuming.add(waiter.generation);
                return waiter.generation;
            }
        }
        return null;
    }

    /** Frees the place of a generation that sent its first token or ended its attempt. */
    void release(GenerationId generation) {
        resuming.remove(generation);
    }

    /** Removes a generation, whether it waits or occupies a place. */
    void remove(GenerationId generation) {
        resuming.remove(generation);
        waiting.removeIf(waiter -> waiter.generation.equals(generation));
    }

    private record Waiting(GenerationId generation, long since, long notBefore) {}
}
