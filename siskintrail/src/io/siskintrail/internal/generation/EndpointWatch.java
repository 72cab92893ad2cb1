package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells a silent endpoint from a slow one and from a single stalled stream, by the gaps between
 * tokens over all streams of the endpoint.
 */
final class EndpointWatch {
    private static final double GAP_WEIGHT = 0.05;
    private static final double SLOWEST_GAPS = 2.5;

    private final GenerationSettings settings;
    private final Map<EndpointId, Progress> endpoints = new LinkedHashMap<>();

    EndpointWatch(GenerationSettings settings) {
        this.settings = settings;
    }

    /** Counts a stream that sent its first token. */
    void streaming(EndpointId endpoint, long now) {
        Progress p = endpoints.computeIfAbsent(endpoint, e -> new Progress());
        p.streams++;
        p.lastToken = now;
    }

    /** Notes a token that came {@code gap} milliseconds after the last one of its stream. */
    void token(EndpointId endpoint, long gap, long now) {
        Progress p = endpoints.get(endpoint);
        p.usualGap = p.usualGap == 0 ? gap : p.usualGap + GAP_WEIGHT * (gap - p.usualGap);
        p.lastToken = now;
    }

    /** Returns how long one stream may rest while others of {@code endpoint} go on. */
    long stallLimit(EndpointId endpoint) {
        Progress p = endpoints.get(endpoint);
        return Math.max(settings.stall(), (long) (settings.silenceGaps() * p.usualGap));
    }

    /** Forgets a stream that had sent tokens. */
    void ended(EndpointId endpoint) {
        Progress p = endpoints.get(endpoint);
        p.streams--;
        if (p.streams == 0) {
            endpoints.remove(endpoint);
        }
    }

    /** Returns the endpoints of which no stream made progress for too long. */
    List<EndpointId> silent(long now) {
        List<EndpointId> found = new ArrayList<>();
        endpoints.forEach(
                (endpoint, p) -> {
                    if (now - p.lastToken > limit(p)) {
                        found.add(endpoint);
                    }
                });
        return found;
    }

    /** Counts all silence from {@code now} on, after this process was paused. */
    void forgive(long now) {
        endpoints.values().forEach(p -> p.lastToken = now);
    }

    private long limit(Progress p) {
        long floor = p.streams > 1 ? settings.silenceFloor() : settings.silenceFloorAlone();
        long usual = (long) (settings.silenceGaps() * p.usualGap);
        long ceiling = Math.max(settings.silenceCeiling(), (long) (SLOWEST_GAPS * p.usualGap));
        return Math.max(floor, Math.min(usual, ceiling));
    }

    private static final class Progress {
        private int streams;
        private long lastToken;
        private double usualGap;
    }
}
