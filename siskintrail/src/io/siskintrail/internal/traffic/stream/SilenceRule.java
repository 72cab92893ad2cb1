package io.siskintrail.internal.traffic.stream;

/**
 * Decides whether an engine has failed or is only slow to send events of one stream, from the time
 * since the engine last sent data for any stream and from its answers to probes. Needed for engines
 * that end without closing their connections: to meet the target for the maximum gap between
 * events, the failure must be detected and the stream resumed on another engine within a few
 * hundred milliseconds.
 */
public final class SilenceRule {
    /** Share of the maximum gap after which a silent engine is probed. */
    private static final double PROBE_GAP_SHARE = 0.28;

    /**
     * Share of the maximum gap after which an engine that did not answer the probe counts as
     * silent.
     */
    private static final double UNANSWERED_GAP_SHARE = 0.5;

    /**
     * Share of the maximum gap after which an engine counts as silent although it answered the
     * probe.
     */
    private static final double ANSWERED_GAP_SHARE = 0.9;

    /**
     * Lower bound of the limits for probing an engine and for counting it as silent; the prefill of
     * other requests causes shorter pauses.
     */
    private static final long MIN_SILENCE_MILLIS = 200;

    /** Maximum gap when the route does not set one. */
    private static final long DEFAULT_GAP_MILLIS = 1_000;

    /**
     * Limit for the silence of a single stream on an engine that sends events of other streams, as
     * a multiple of the limit for an unanswered probe.
     */
    private static final double SINGLE_STREAM_FACTOR = 4;

    /** Time without data after which an engine that has not sent a first event is probed. */
    private static final long FIRST_EVENT_PROBE_MILLIS = 500;

    /** Limit for the time to the first event, as a multiple of the expected time. */
    private static final double FIRST_EVENT_FACTOR = 3;

    /**
     * Time added to the limit for the first event, as the expected time is an assumption at first.
     */
    private static final long FIRST_EVENT_SLACK_MILLIS = 1_500;

    private final long probeLimitMillis;
    private final long unansweredLimitMillis;
    private final long answeredLimitMillis;

    /** Action to take after a check of a stream. */
    public enum Verdict {
        /** No limit is exceeded: keep waiting. */
        WAIT,
        /** Open a probe connection to check that the engine is reachable. */
        PROBE,
        /** The whole engine is silent: resume all its streams on other engines. */
        ENGINE_SILENT,
        /** Only this stream is silent: resume it on another engine. */
        STREAM_SILENT
    }

    /**
     * Result of a check of a stream.
     *
     * @param verdict the action to take
     * @param nextCheckMillis the time after which the next check is due, in milliseconds, at least
     *     1: the verdict cannot change earlier as long as the engine sends no data and the state of
     *     the probe stays the same
     */
    public record Look(Verdict verdict, long nextCheckMillis) {}

    /** State of the probe of an engine since the engine last sent data. */
    public enum ProbeState {
        /** No probe was sent. */
        NONE,
        /** A probe was sent and not answered yet. */
        SENT,
        /** The probe was answered: the host is alive, though the engine may hang. */
        ANSWERED
    }

    /**
     * Creates the rule of a route.
     *
     * @param targetGapMillis the target for the maximum gap between events, in milliseconds; 1000
     *     is used when it is 0 or negative
     */
    public SilenceRule(long targetGapMillis) {
        long maxGapMillis = targetGapMillis > 0 ? targetGapMillis : DEFAULT_GAP_MILLIS;
        probeLimitMillis = Math.max(MIN_SILENCE_MILLIS, (long) (PROBE_GAP_SHARE * maxGapMillis));
        unansweredLimitMillis =
                Math.max(MIN_SILENCE_MILLIS, (long) (UNANSWERED_GAP_SHARE * maxGapMillis));
        answeredLimitMillis =
                Math.max(MIN_SILENCE_MILLIS, (long) (ANSWERED_GAP_SHARE * maxGapMillis));
    }

    /**
     * Checks a stream that has received its first event.
     *
     * @param streamSilentMillis time in milliseconds since the last event of the stream
     * @param engineSilentMillis time in milliseconds since the engine last sent data for any stream
     * @param probeState the state of the probe of the engine since the engine last sent data
     */
    public Look checkBetweenEvents(
            long streamSilentMillis, long engineSilentMillis, ProbeState probeState) {
        long engineLimitMillis =
                switch (probeState) {
                    case NONE -> probeLimitMillis;
                    case SENT -> unansweredLimitMillis;
                    case ANSWERED -> answeredLimitMillis;
                };
        long engineLeftMillis = engineLimitMillis - engineSilentMillis;
        long streamLeftMillis =
                (long) (SINGLE_STREAM_FACTOR * unansweredLimitMillis) - streamSilentMillis;
        long nextCheckMillis = Math.max(1, Math.min(engineLeftMillis, streamLeftMillis));
        boolean engineSilent =
                engineSilentMillis
                        >= (probeState == ProbeState.ANSWERED
                                ? answeredLimitMillis
                                : unansweredLimitMillis);
        if (engineSilent) {
            return new Look(Verdict.ENGINE_SILENT, nextCheckMillis);
        }
        if (engineLeftMillis <= 0) {
            return new Look(Verdict.PROBE, nextCheckMillis);
        }
        return new Look(
                streamLeftMillis <= 0 ? Verdict.STREAM_SILENT : Verdict.WAIT, nextCheckMillis);
    }

    /**
     * Checks a stream that has not received an event yet.
     *
     * @param sinceSentMillis time in milliseconds since the request was sent
     * @param engineSilentMillis time in milliseconds since the engine last sent data for any stream
     *     or was last probed, or since it answered the probe, whichever is the latest
     * @param expectedFirstEventMillis the expected time from sending to the first event, in
     *     milliseconds
     */
    public Look checkBeforeFirstEvent(
            long sinceSentMillis, long engineSilentMillis, double expectedFirstEventMillis) {
        long streamLeftMillis = firstEventLimitMillis(expectedFirstEventMillis) - sinceSentMillis;
        long probeLeftMillis =
                FIRST_EVENT_PROBE_MILLIS - Math.min(sinceSentMillis, engineSilentMillis);
        long nextCheckMillis = Math.max(1, Math.min(streamLeftMillis, probeLeftMillis));
        if (streamLeftMillis <= 0) {
            return new Look(Verdict.STREAM_SILENT, nextCheckMillis);
        }
        return new Look(probeLeftMillis <= 0 ? Verdict.PROBE : Verdict.WAIT, nextCheckMillis);
    }

    private static long firstEventLimitMillis(double expectedFirstEventMillis) {
        return (long) (FIRST_EVENT_FACTOR * expectedFirstEventMillis) + FIRST_EVENT_SLACK_MILLIS;
    }
}
