package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.endpoint.EndpointView;

/**
 * The prefill that a request needs, from which its duration on each engine follows.
 *
 * @param promptTokens the tokens of the prompt; 0 if the speeds of engines are not to count
 * @param speeds the speeds of the engines of the service; null only if {@code promptTokens} is 0
 * @param hosts how many hosts place streams on these engines, this one included; at least 1
 */
public record PromptPrefill(int promptTokens, EngineSpeeds speeds, int hosts) {
    /** Compares engines by their load alone, as the only host. */
    public static final PromptPrefill NONE = new PromptPrefill(0, null, 1);

    /**
     * Number of hosts from which on one of them has probably placed a stream that this host does
     * not know of yet: reports take a tenth of a second, in which 16 hosts with the load of the
     * larger deployments start about one stream.
     */
    private static final int SPREADING_HOSTS = 16;

    /**
     * Share of a prefill that counts for each stream that it slows down. Without it, engines of a
     * failure domain that survive the loss of the others get all streams of their domain; in {@code
     * PlacementLoadTest} the busiest engine then gets 1.5 times the mean, with it 1.2 times.
     */
    private static final double PAUSE_SHARE = 1.0 / 3;

    /** Returns the expected prefill time in milliseconds on an engine, without its queue. */
    public double millis(long nowMillis, EndpointView e, int running) {
        return promptTokens == 0
                ? 0
                : speeds.prefillMillis(nowMillis, e.record().id(), promptTokens, running > 0);
    }

    /**
     * Returns what the pause that the prefill causes in one running stream costs on a median
     * engine, in milliseconds; 0 for a single host.
     */
    public double pauseMillis(long nowMillis) {
        return PAUSE_SHARE * toleranceMillis(nowMillis);
    }

    /**
     * Returns by which factor steps on an engine take longer than on a median engine; above 1 for a
     * slow one.
     */
    public double stepFactor(long nowMillis, EndpointView e) {
        return promptTokens == 0
                ? 1
                : speeds.medianTokensPerMilli(nowMillis)
                        / speeds.tokensPerMilli(nowMillis, e.record().id());
    }

    /**
     * Returns by how many milliseconds the cost of an engine may exceed the lowest for it to be
     * chosen: what one prompt that another host placed meanwhile costs, in proportion to how likely
     * that is.
     */
    public double toleranceMillis(long nowMillis) {
        if (promptTokens == 0) {
            return 0;
        }
        double likelihood = Math.min(1, (hosts - 1) / (double) SPREADING_HOSTS);
        return likelihood * promptTokens / speeds.medianTokensPerMilli(nowMillis);
    }
}
