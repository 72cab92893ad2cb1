package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Bounds how many lost generations recompute their prefix at a time; the one that has waited
 * longest goes first.
 */
final class RecoveryQueue {
    private final int concurrency;
    private final TreeSet<Waiting> waiting =
            new TreeSet<>(
                    Comparator.comparingLong(Waiting::since).thenComparing(Waiting::generation));
    private final Set<GenerationId> running = new HashSet<>();

    RecoveryQueue(int concurrency) {
        this.concurrency = concurrency;
    }

    /** Queues a generation whose caller has waited since {@code since}. */
    void add(GenerationId generation, long since, long notBefore) {
        waiting.add(new Waiting(generation, since, notBefore));
    }

    /** Returns the next generation that may resume, or null; it counts as running from now on. */
    GenerationId next(long now) {
        if (running.size() >= concurrency) {
            return null;
        }
        for (Waiting w : waiting) {
            if (w.notBefore <= now) {
                waiting.remove(w);
                running.add(w.generation);
                return w.generation;
            }
        }
        return null;
    }

    /** Frees the place of a generation that sent its first token or ended its attempt. */
    void done(GenerationId generation) {
        running.remove(generation);
    }

    /** Forgets a generation. */
    void remove(GenerationId generation) {
        running.remove(generation);
        waiting.removeIf(w -> w.generation.equals(generation));
    }

    private record Waiting(GenerationId generation, long since, long notBefore) {}
}
