package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;

/**
 * Decides which streams of a service get a copy of their KV cache memory. A copy takes as much
 * memory as the stream itself. Built for engines whose memory is the bottleneck: at 27 streams of
 * 9,000 tokens per second, copies of all would halve what 84 engines can run. While memory is
 * short, only the streams that gain most get a copy: those of the most urgent rank, and those with
 * the longest remaining output, which are the most likely to meet a loss. Not thread-safe.
 */
public final class CopyPolicy {
    /**
     * Share of the usable memory in use above which memory is short: beyond it, the streams of one
     * of three failure domains do not fit on the engines of the other two.
     */
    private static final double SHORTAGE_SHARE = 2.0 / 3;

    /** Streams whose outputs are compared; enough for a quartile. */
    private static final int RECENT_STREAMS = 32;

    /** Streams from which on the outputs can be compared. */
    private static final int MIN_STREAMS = 8;

    private final Deque<Integer> recentOutputs = new ArrayDeque<>();

    /**
     * Returns whether a stream is to get a copy.
     *
     * @param isMemoryShort whether only the streams that gain most get one
     * @param isMostUrgent whether no route to the service is more urgent than the rank of the
     *     stream, and at least one is less urgent
     * @param outputLeft the tokens that the stream has yet to generate
     */
    public boolean wantsCopy(boolean isMemoryShort, boolean isMostUrgent, int outputLeft) {
        boolean isLong = recentOutputs.size() >= MIN_STREAMS && outputLeft > upperQuartile();
        recentOutputs.addLast(outputLeft);
        if (recentOutputs.size() > RECENT_STREAMS) {
            recentOutputs.removeFirst();
        }
        return !isMemoryShort || isMostUrgent || isLong;
    }

    /**
     * Returns whether the memory of the engines of a service is short.
     *
     * @param nowMillis monotonic time
     * @param endpoints the engines of the service
     * @param spec the capacity of each engine; null when it is not configured, in which case memory
     *     is never short
     * @param hasWaiting whether requests wait for a place on these engines
     */
    public static boolean isMemoryShort(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec spec,
            boolean hasWaiting) {
        if (spec == null) {
            return false;
        }
        return hasWaiting
                || StreamPlacement.usedMemoryShare(nowMillis, endpoints, spec) > SHORTAGE_SHARE;
    }

    private int upperQuartile() {
        int[] sorted = recentOutputs.stream().mapToInt(Integer::intValue).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length * 3 / 4];
    }
}
