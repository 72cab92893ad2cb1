package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Distinguishes a silent endpoint from a slow one and from a single stalled stream, based on the
 * gaps between tokens over all streams of the endpoint.
 */
final class SilenceDetector {
    private static final double GAP_AVERAGE_WEIGHT = 0.05;
    private static final double MIN_CEILING_GAPS = 2.5;

    private final GenerationSettings settings;
    private final Map<EndpointId, Progress> endpoints = new LinkedHashMap<>();

    SilenceDetector(GenerationSettings settings) {
        this.settings = settings;
    }

    /** Records the first token of a stream. */
    void recordFirstToken(EndpointId endpoint, long now) {
        Progress p = endpoints.computeIfAbsent(endpoint, e -> new Progress());
        p.activeStreams++;
        p.lastTokenAt = now;
    }

    /** Records a token that came {@code gap} milliseconds after the previous one of its stream. */
    void recordToken(EndpointId endpoint, long gap, long now) {
        Progress p = endpoints.get(endpoint);
        p.averageGapMillis =
                p.averageGapMillis == 0
                        ? gap
                        : p.averageGapMillis + GAP_AVERAGE_WEIGHT * (gap - p.averageGapMillis);
        p.lastTokenAt = now;
    }

    /** Returns the milliseconds without a token after which a stream of the endpoint is stalled. */
    long stallLimit(EndpointId endpoint) {
        Progress p = endpoints.get(endpoint);
        return Math.max(settings.stall(), (long) (settings.silenceGaps() * p.averageGapMillis));
    }

    /** Records the end of a stream that had sent tokens. */
    void recordStreamEnd(EndpointId endpoint) {
        Progress p = endpoints.get(endpoint);
        p.activeStreams--;
        if (p.activeStreams == 0) {
            endpoints.remove(endpoint);
        }
    }

    /** Returns the endpoints without a token on any stream for longer than their silence limit. */
    List<EndpointId> silentEndpoints(long now) {
        List<EndpointId> found = new ArrayList<>();
        endpoints.forEach(
                (endpoint, p) -> {
                    if (now - p.lastTokenAt > silenceLimit(p)) {
                        found.add(endpoint);
                    }
                });
        return found;
    }

    /** Restarts the silence of all endpoints at {@code now}, after this process was paused. */
    void resetSilence(long now) {
        endpoints.values().forEach(p -> p.lastTokenAt = now);
    }

    private long silenceLimit(Progress p) {
        long floor = p.activeStreams > 1 ? settings.silenceFloor() : settings.silenceFloorAlone();
        long fromAverageGap = (long) (settings.silenceGaps() * p.averageGapMillis);
        long ceiling =
                Math.max(settings.silenceCeiling(), (long) (MIN_CEILING_GAPS * p.averageGapMillis));
        return Math.max(floor, Math.min(fromAverageGap, ceiling));
    }

    private static final class Progress {
        private int activeStreams;
        private long lastTokenAt;
        private double averageGapMillis;
    }
}
