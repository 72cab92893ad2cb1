package io.siskintrail.internal.traffic;

/**
 * Tells for how long a registry gathers what hosts say of their loads before it passes that on.
 * Answers growth: each word of a host goes to all hosts, so the messages would grow with the square
 * of their number; gathered for longer where there are more of them, they stay at a fixed rate,
 * while the chance that two hosts choose the same engine in between falls with the number of
 * engines.
 */
public final class RelayPace {
    /** Shortest time that words are gathered, in milliseconds; short beside reading a prompt. */
    private static final long SHORTEST_MILLIS = 25;

    /** Longest time, in milliseconds: a prompt is read in about a second. */
    private static final long LONGEST_MILLIS = 250;

    /** Messages that a registry passes on a second, to all hosts together. */
    private static final long MESSAGES_PER_SECOND = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private RelayPace() {}

    /**
     * Returns the time to gather, in milliseconds.
     *
     * @param hosts how many hosts the words are passed on to
     */
    public static long gatherMillis(int hosts) {
        long millis = hosts * MILLIS_PER_SECOND / MESSAGES_PER_SECOND;
        return Math.min(LONGEST_MILLIS, Math.max(SHORTEST_MILLIS, millis));
    }
}
