package io.siskintrail.internal.traffic.placement;

/**
 * Estimates the prefill throughput of engines from the time to first event of requests that ran
 * alone on an engine.
 */
public final class PrefillRate {
    /** Estimate before the first observation. */
    private static final double INITIAL_TOKENS_PER_MILLI = 8;

    /** Time from the end of the prefill to the first event. */
    private static final double FIRST_EVENT_OVERHEAD_MILLIS = 80;

    /** Shorter prompts are ignored, since other delays dominate their time to first event. */
    private static final int MIN_TOKENS = 500;

    private static final double SMOOTHING_WEIGHT = 0.2;
    private static final double MIN_TOKENS_PER_MILLI = 0.05;
    private static final double MAX_TOKENS_PER_MILLI = 1_000;

    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;

    /**
     * Records that a prompt of {@code tokens} on an idle engine took {@code millis} to first event.
     */
    public void recordPrefill(int tokens, long millis) {
        if (tokens < MIN_TOKENS) {
            return;
        }
        double observed = tokens / Math.max(1, millis - FIRST_EVENT_OVERHEAD_MILLIS);
        double next = tokensPerMilli + SMOOTHING_WEIGHT * (observed - tokensPerMilli);
        tokensPerMilli = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, next));
    }

    /** Returns the estimated prefill time in milliseconds of a prompt of {@code tokens}. */
    public double prefillMillis(int tokens) {
        return tokens / tokensPerMilli;
    }

    /**
     * Returns the expected time in milliseconds to the first event of such a prompt on an idle
     * engine.
     */
    public double firstEventMillis(int tokens) {
        return prefillMillis(tokens) + FIRST_EVENT_OVERHEAD_MILLIS;
    }
}
