package io.siskintrail.internal.traffic.stream;

/**
 * Tracks when one attempt of a stream last received an event or a probe answer from its engine, and
 * decides by a {@link SilenceRule} whether the engine is still alive and when to check again. Times
 * are monotonic milliseconds. Not thread-safe.
 */
public final class SilenceTracker {
    private static final long NEVER = Long.MIN_VALUE;

    /** Time between two checks while nothing is read. */
    private static final long NOT_READING_CHECK_MILLIS = 200;

    private final SilenceRule rule;
    private final long sentAt;
    private final double expectedFirstEventMillis;
    private long unforeseenMillis;
    private long lastEventAt = NEVER;
    private long probedAt;
    private boolean probeAnswered;
    private boolean reading = true;
    private long readingSince;

    /**
     * Starts tracking an attempt.
     *
     * @param rule the silence limits of the route
     * @param sentAt when the attempt was sent
     * @param expectedFirstEventMillis the expected time from sending to the first event, in
     *     milliseconds
     */
    public SilenceTracker(SilenceRule rule, long sentAt, double expectedFirstEventMillis) {
        this.rule = rule;
        this.sentAt = sentAt;
        this.expectedFirstEventMillis = expectedFirstEventMillis;
        this.probedAt = sentAt;
        this.readingSince = sentAt;
    }

    /** Records an event of the stream; returns whether it is the first. */
    public boolean recordEvent(long nowMillis) {
        boolean first = !hasEvents();
        lastEventAt = nowMillis;
        return first;
    }

    /** Returns whether at least one event was received. */
    public boolean hasEvents() {
        return lastEventAt != NEVER;
    }

    /**
     * Records whether the engine is read from. While it is not, because the client takes no more,
     * its silence says nothing.
     */
    public void setReading(long nowMillis, boolean isReading) {
        reading = isReading;
        readingSince = nowMillis;
    }

    /**
     * Records that the engine had {@code millis} of prefill to do before this attempt that nothing
     * told of when it was sent. Giving up the attempt for that would repeat its own prefill.
     */
    public void recordUnforeseenPrefill(long millis) {
        unforeseenMillis = Math.max(unforeseenMillis, millis);
    }

    /** Returns whether the engine is read from. */
    public boolean isReading() {
        return reading;
    }

    /** Records that a probe connection to the engine was started. */
    public void recordProbeSent(long nowMillis) {
        probedAt = nowMillis;
        probeAnswered = false;
    }

    /** Records that the engine accepted the probe connection. */
    public void recordProbeAnswer(long nowMillis) {
        probedAt = nowMillis;
        probeAnswered = true;
    }

    /**
     * Decides whether the engine or the stream counts as silent.
     *
     * @param lastActivityAt when the engine last sent anything, for this attempt or another
     */
    public SilenceRule.Look check(long nowMillis, long lastActivityAt) {
        if (!reading) {
            return new SilenceRule.Look(SilenceRule.Verdict.WAIT, NOT_READING_CHECK_MILLIS);
        }
        long engineSilentMillis = nowMillis - Math.max(lastActivityAt, readingSince);
        if (hasEvents()) {
            return rule.checkBetweenEvents(
                    nowMillis - Math.max(lastEventAt, readingSince),
                    engineSilentMillis,
                    probeStateSince(nowMillis, engineSilentMillis));
        }
        long sinceActivityOrProbeMillis = Math.min(engineSilentMillis, nowMillis - probedAt);
        return rule.checkBeforeFirstEvent(
                nowMillis - sentAt,
                sinceActivityOrProbeMillis,
                expectedFirstEventMillis + unforeseenMillis);
    }

    private SilenceRule.ProbeState probeStateSince(long nowMillis, long engineSilentMillis) {
        if (probedAt == sentAt || nowMillis - probedAt > engineSilentMillis) {
            return SilenceRule.ProbeState.NONE;
        }
        return probeAnswered ? SilenceRule.ProbeState.ANSWERED : SilenceRule.ProbeState.SENT;
    }
}
