package io.siskintrail.internal.traffic;

/**
 * What the configuration says of the engines of a service.
 *
 * @param slots how many requests run at once
 * @param memoryTokens how many tokens fit into memory, of all requests together
 * @param tokensPerEvent the most tokens in one event of a stream
 * @param copies whether the engines keep a running copy of a request's memory at another engine
 * @param copyKeptMillis how long such a copy is kept after its last part came
 */
public record EngineSpec(
        int slots, long memoryTokens, int tokensPerEvent, boolean copies, long copyKeptMillis) {}
