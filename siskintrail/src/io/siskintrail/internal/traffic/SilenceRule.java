package io.siskintrail.internal.traffic;

/**
 * Distinguishes an engine that has gone silent from one that is only slow, by the other data and
 * the probe answers that it sends. Needed for engines that end without closing their connections:
 * the target for the maximum gap between events leaves a few hundred milliseconds to detect the
 * failure and resume elsewhere.
 */
public final class SilenceRule {
    /** Share of the maximum gap after which a silent engine is probed. */
    private static final double PROBE_SHARE = 0.28;

    /**
     * Share of the maximum gap after which an engine that did not answer the probe counts as lost.
     */
    private static final double UNANSWERED_SHARE = 0.5;

    /**
     * Share of the maximum gap after which an engine counts as lost although it answered the probe.
     */
    private static final double ANSWERED_SHARE = 0.9;

    /**
     * Minimum silence that indicates a failure; the prefill of other requests causes shorter
     * pauses.
     */
    private static final long MIN_SILENCE_MILLIS = 200;

    /** Maximum gap when the route does not set one. */
    private static final long DEFAULT_GAP_MILLIS = 1_000;

    /**
     * Limit for the silence of a single stream on an engine that sends events of others, as a
     * multiple of the limit for an unanswered probe.
     */
    private static final double SINGLE_STREAM_FACTOR = 4;

    /** Time without data after which an engine that has not sent a first event is probed. */
    private static final long FIRST_EVENT_PROBE_MILLIS = 500;

    /** Limit for the time to the first event, as a multiple of the expected time. */
    private static final double FIRST_EVENT_FACTOR = 3;

    /** Time added to that limit, for estimates without observations so far. */
    private static final long FIRST_EVENT_SLACK_MILLIS = 1_500;

    private final long probeLimitMillis;
    private final long unansweredLimitMillis;
    private final long answeredLimitMillis;

    /** Action that the silence of a stream calls for. */
    public enum Verdict {
        /** No limit is exceeded: keep waiting. */
        WAIT,
        /** Probe whether the engine is reachable. */
        PROBE,
        /** The whole engine is silent: resume all its streams elsewhere. */
        ENGINE_SILENT,
        /** Only this stream is silent: resume it elsewhere. */
        STREAM_SILENT
    }

    /**
     * Result of a check of a stream.
     *
     * @param verdict the action to take
     * @param nextCheckMillis the time after which the next check is due, in milliseconds, at least
     *     1: the verdict cannot change earlier if nothing comes from the engine
     */
    public record Look(Verdict verdict, long nextCheckMillis) {}

    /** Result of probing an engine since it went silent. */
    public enum Probe {
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
     * @param targetGapMillis the target for the maximum gap between events; 0 when not set
     */
    public SilenceRule(long targetGapMillis) {
        long maxGapMillis = targetGapMillis > 0 ? targetGapMillis : DEFAULT_GAP_MILLIS;
        probeLimitMillis = Math.max(MIN_SILENCE_MILLIS, (long) (PROBE_SHARE * maxGapMillis));
        unansweredLimitMillis =
                Math.max(MIN_SILENCE_MILLIS, (long) (UNANSWERED_SHARE * maxGapMillis));
        answeredLimitMillis = Math.max(MIN_SILENCE_MILLIS, (long) (ANSWERED_SHARE * maxGapMillis));
    }

    /**
     * Checks a stream that has received its first event.
     *
     * @param streamSilentMillis time since the last event of the stream
     * @param engineSilentMillis time since the engine last sent anything
     * @param probe the result of probing the engine since then
     */
    public Look checkBetweenEvents(long streamSilentMillis, long engineSilentMillis, Probe probe) {
        long engineLimitMillis =
                switch (probe) {
                    case NONE -> probeLimitMillis;
                    case SENT -> unansweredLimitMillis;
                    case ANSWERED -> answeredLimitMillis;
                };
        long engineLeftMillis = engineLimitMillis - engineSilentMillis;
        long streamLeftMillis =
                (long) (SINGLE_STREAM_FACTOR * unansweredLimitMillis) - streamSilentMillis;
        long nextCheckMillis = Math.max(1, Math.min(engineLeftMillis, streamLeftMillis));
        boolean engineLost =
                engineSilentMillis
                        >= (probe == Probe.ANSWERED ? answeredLimitMillis : unansweredLimitMillis);
        if (engineLost) {
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
     * @param sinceSentMillis time since the request was sent
     * @param engineSilentMillis time since the engine last sent anything, or since the last probe
     *     that reached it
     * @param expectedMillis the expected time to the first event
     */
    public Look checkBeforeFirstEvent(
            long sinceSentMillis, long engineSilentMillis, double expectedMillis) {
        long streamLeftMillis = firstEventLimitMillis(expectedMillis) - sinceSentMillis;
        long probeLeftMillis =
                FIRST_EVENT_PROBE_MILLIS - Math.min(sinceSentMillis, engineSilentMillis);
        long nextCheckMillis = Math.max(1, Math.min(streamLeftMillis, probeLeftMillis));
        if (streamLeftMillis <= 0) {
            return new Look(Verdict.STREAM_SILENT, nextCheckMillis);
        }
        return new Look(probeLeftMillis <= 0 ? Verdict.PROBE : Verdict.WAIT, nextCheckMillis);
    }

    private static long firstEventLimitMillis(double expectedMillis) {
        return (long) (FIRST_EVENT_FACTOR * expectedMillis) + FIRST_EVENT_SLACK_MILLIS;
    }
}
