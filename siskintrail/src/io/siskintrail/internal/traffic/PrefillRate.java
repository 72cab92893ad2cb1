package io.siskintrail.internal.traffic;

/**
 * Learns how fast engines read prompts from the time to the first event of requests that had an
 * engine for themselves.
 */
public final class PrefillRate {
    /** Assumed before anything was seen, in tokens a millisecond. */
    private static final double INITIAL = 8;

    /** Time from a read prompt to the first event, in milliseconds. */
    private static final double FIRST_EVENT_MILLIS = 80;

    /** Prompts below this say little, since other times weigh more. */
    private static final int LEAST_TOKENS = 500;

    private static final double WEIGHT = 0.2;
    private static final double LOWEST = 0.05;
    private static final double HIGHEST = 1_000;

    private double tokensPerMilli = INITIAL;

    /** Notes that a prompt of {@code tokens} on an idle engine took {@code millis} to its event. */
    public void observe(int tokens, long millis) {
        if (tokens < LEAST_TOKENS) {
            return;
        }
        double seen = tokens / Math.max(1, millis - FIRST_EVENT_MILLIS);
        double next = tokensPerMilli + WEIGHT * (seen - tokensPerMilli);
        tokensPerMilli = Math.max(LOWEST, Math.min(HIGHEST, next));
    }

    /** Returns how long a prompt of {@code tokens} takes to read. */
    public double readMillis(int tokens) {
        return tokens / tokensPerMilli;
    }

    /** Returns the expected time to the first event of such a prompt on an idle engine. */
    public double firstEventMillis(int tokens) {
        return readMillis(tokens) + FIRST_EVENT_MILLIS;
    }
}
