package io.siskintrail.internal.traffic.placement;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the prefill throughput of each engine of a service from the times to first event that
 * this host and others measured. Built for 84 engines at 0.7 to 1.7 of a common speed and 61 to 89
 * hosts that each start less than one stream per second: one host alone sees an engine about once
 * in three minutes, all hosts together about ten times in the 30 s that a measurement is valid. The
 * estimate is the median of these, which a delayed packet or a preempted request does not move. The
 * gaps between events are not used: on one engine they vary by a factor of six with its prefill
 * work, more than the speeds of the engines differ. Not thread-safe.
 */
public final class EngineSpeeds {
    /** Estimate before the first measurement of any engine of the service. */
    private static final double INITIAL_TOKENS_PER_MILLI = 8;

    /** Time from the end of the prefill to the first event. */
    private static final double FIRST_EVENT_OVERHEAD_MILLIS = 80;

    /** Shorter prompts are ignored, since other delays dominate their time to first event. */
    private static final int MIN_TOKENS = 500;

    /**
     * Share of the time that an engine spends on the steps of running streams while it prefills:
     * one step of 5 ms between two chunks of 200 tokens, which take 25 ms.
     */
    private static final double DECODING_SHARE = 0.17;

    /**
     * Maximum prefill ahead of a prompt, as a multiple of the prompt, for a measurement to count;
     * the work of other hosts is known only as of their last report.
     */
    private static final double MAX_AHEAD_RATIO = 2;

    /** How long a measurement is valid. */
    private static final long VALID_MILLIS = 30_000;

    /** Measurements kept for each engine; more do not improve the median noticeably. */
    private static final int MAX_SAMPLES = 9;

    /**
     * Measurements from which on the median of the service no longer counts as one more; below, one
     * outlier could stand alone.
     */
    private static final int TRUSTED_SAMPLES = 3;

    /** How long the median of the service is reused, since it takes a pass over all engines. */
    private static final long MEDIAN_REUSE_MILLIS = 500;

    private static final double MIN_TOKENS_PER_MILLI = 0.05;
    private static final double MAX_TOKENS_PER_MILLI = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<EndpointId, Deque<Sample>> samples = new HashMap<>();
    private final List<Measurement> unreported = new ArrayList<>();
    private double median = INITIAL_TOKENS_PER_MILLI;
    private long medianAtMillis = Long.MIN_VALUE;

    private record Sample(double tokensPerMilli, long measuredAtMillis) {

        boolean isValid(long nowMillis) {
            return nowMillis - measuredAtMillis < VALID_MILLIS;
        }
    }

    private record Measurement(EndpointId engine, Sample sample) {}

    /**
     * Records the first event of a prompt.
     *
     * @param nowMillis monotonic time of the event
     * @param engine the engine that ran the prefill
     * @param promptTokens the size of the prompt; prompts below 500 tokens are ignored
     * @param aheadTokens the prompt tokens, of all hosts, that the engine had to prefill before
     *     when the request was sent
     * @param decoding whether the engine was generating for other streams
     * @param elapsedMillis time from sending the request to the event
     */
    public void recordFirstEvent(
            long nowMillis,
            EndpointId engine,
            int promptTokens,
            double aheadTokens,
            boolean decoding,
            long elapsedMillis) {
        if (promptTokens < MIN_TOKENS || aheadTokens > MAX_AHEAD_RATIO * promptTokens) {
            return;
        }
        double prefillMillis =
                Math.max(1, elapsedMillis - FIRST_EVENT_OVERHEAD_MILLIS) * prefillShare(decoding);
        Sample sample = new Sample(clamp((promptTokens + aheadTokens) / prefillMillis), nowMillis);
        add(engine, sample);
        unreported.add(new Measurement(engine, sample));
    }

    /** Applies a measurement of another host, which arrived at {@code nowMillis}. */
    public void recordReported(long nowMillis, EngineSpeed speed) {
        Sample sample =
                new Sample(
                        clamp(speed.prefillTokensPerSecond() / MILLIS_PER_SECOND),
                        nowMillis - Math.max(0, speed.ageMillis()));
        if (speed.prefillTokensPerSecond() > 0 && sample.isValid(nowMillis)) {
            add(speed.endpoint(), sample);
        }
    }

    /** Returns the valid measurements of this host that were not returned before. */
    public List<EngineSpeed> takeUnreported(long nowMillis) {
        List<EngineSpeed> taken = new ArrayList<>(unreported.size());
        for (Measurement m : unreported) {
            if (m.sample().isValid(nowMillis)) {
                long perSecond = Math.round(m.sample().tokensPerMilli() * MILLIS_PER_SECOND);
                long ageMillis = nowMillis - m.sample().measuredAtMillis();
                taken.add(new EngineSpeed(m.engine(), perSecond, ageMillis));
            }
        }
        unreported.clear();
        return taken;
    }

    /**
     * Returns the prompt tokens that an engine prefills in a millisecond without other work; the
     * median of the service when nothing valid is known of the engine.
     */
    public double tokensPerMilli(long nowMillis, EndpointId engine) {
        Deque<Sample> known = samples.get(engine);
        if (known == null) {
            return medianTokensPerMilli(nowMillis);
        }
        known.removeIf(s -> !s.isValid(nowMillis));
        if (known.isEmpty()) {
            samples.remove(engine);
            return medianTokensPerMilli(nowMillis);
        }
        double[] values =
                known.size() >= TRUSTED_SAMPLES
                        ? values(known, 0)
                        : values(known, medianTokensPerMilli(nowMillis));
        return medianOf(values, values.length);
    }

    /** Returns the median speed of the engines of the service, in tokens per millisecond. */
    public double medianTokensPerMilli(long nowMillis) {
        if (medianAtMillis == Long.MIN_VALUE || nowMillis - medianAtMillis >= MEDIAN_REUSE_MILLIS) {
            medianAtMillis = nowMillis;
            samples.values().forEach(known -> known.removeIf(s -> !s.isValid(nowMillis)));
            samples.values().removeIf(Deque::isEmpty);
            double[] speeds =
                    samples.values().stream()
                            .mapToDouble(known -> medianOf(values(known, 0), known.size()))
                            .toArray();
            // Without valid measurements the last median stays the best estimate.
            median = speeds.length == 0 ? median : medianOf(speeds, speeds.length);
        }
        return median;
    }

    /**
     * Returns the expected prefill time in milliseconds of {@code tokens} on an engine.
     *
     * @param decoding whether the engine generates for other streams at the same time
     */
    public double prefillMillis(
            long nowMillis, EndpointId engine, double tokens, boolean decoding) {
        return tokens / (tokensPerMilli(nowMillis, engine) * prefillShare(decoding));
    }

    /** Returns how many prompt tokens an engine prefills in {@code millis}. */
    public double prefilledTokens(
            long nowMillis, EndpointId engine, double millis, boolean decoding) {
        return millis * tokensPerMilli(nowMillis, engine) * prefillShare(decoding);
    }

    /** Returns the time in milliseconds from the end of a prefill to the first event. */
    public static double firstEventOverheadMillis() {
        return FIRST_EVENT_OVERHEAD_MILLIS;
    }

    private static double prefillShare(boolean decoding) {
        return decoding ? 1 - DECODING_SHARE : 1;
    }

    private void add(EndpointId engine, Sample sample) {
        Deque<Sample> known = samples.computeIfAbsent(engine, e -> new ArrayDeque<>());
        known.addLast(sample);
        if (known.size() > MAX_SAMPLES) {
            known.removeFirst();
        }
    }

    /** Returns the values of samples, and {@code prior} as one more unless it is 0. */
    private static double[] values(Deque<Sample> known, double prior) {
        double[] values = new double[known.size() + (prior > 0 ? 1 : 0)];
        int n = 0;
        for (Sample s : known) {
            values[n++] = s.tokensPerMilli();
        }
        if (prior > 0) {
            values[n] = prior;
        }
        return values;
    }

    /** Returns the median of values, the geometric mean of the middle two if there are two. */
    private static double medianOf(double[] values, int count) {
        Arrays.sort(values);
        return Math.sqrt(values[(count - 1) / 2] * values[count / 2]);
    }

    private static double clamp(double tokensPerMilli) {
        return Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, tokensPerMilli));
    }
}
