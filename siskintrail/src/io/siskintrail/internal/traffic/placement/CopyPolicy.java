package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;

/**
 * Decides which streams of a service get a copy of their KV cache memory. A copy takes as much
 * memory as the stream itself. Load: a failure domain is lost every few seconds while the memory of
 * the engines is nearly used up. New streams wait for room for their copy, so memory is short
 * mostly after a loss; then only the streams that gain most get a copy: those of the most urgent
 * rank, and those with the longest remaining output, which are the most likely to meet a loss. Not
 * thread-safe.
 */
public final class CopyPolicy {
    /**
     * Share of the usable memory in use above which memory is short: beyond it hardly any engine
     * has room for a stream, and a copy may take the place of one that lost its engine.
     */
    private static final double SHORTAGE_SHARE = 0.9;

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
     */
    public static boolean isMemoryShort(
            long nowMillis, Collection<EndpointView> endpoints, EngineSpec spec) {
        return spec != null
                && StreamPlacement.usedMemoryShare(nowMillis, endpoints, spec) > SHORTAGE_SHARE;
    }

    private int upperQuartile() {
        int[] sorted = recentOutputs.stream().mapToInt(Integer::intValue).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length * 3 / 4];
    }
}
