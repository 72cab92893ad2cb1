package io.siskintrail.router.internal.generation;

import java.util.concurrent.atomic.LongAdder;

/** Counts what the generations of a router cost. Safe for use by several threads. */
public final class GenerationStats {
    private final LongAdder delivered = new LongAdder();
    private final LongAdder resumed = new LongAdder();
    private final LongAdder recomputed = new LongAdder();

    /** Returns the tokens handed to callers. */
    public long deliveredTokens() {
        return delivered.sum();
    }

    /** Returns how often a generation went on after a loss. */
    public long resumptions() {
        return resumed.sum();
    }

    /** Returns the prompt and journal tokens that were computed again. */
    public long recomputedTokens() {
        return recomputed.sum();
    }

    void countDelivered(int tokens) {
        delivered.add(tokens);
    }

    void countResumed(int tokens) {
        resumed.increment();
        recomputed.add(tokens);
    }
}
