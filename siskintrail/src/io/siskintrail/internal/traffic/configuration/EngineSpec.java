package io.siskintrail.internal.traffic.configuration;

/**
 * Configured capacity and features of the engines of a service.
 *
 * @param slots how many requests one engine runs concurrently
 * @param memoryTokens capacity of the KV cache of one engine in tokens, for all requests together
 * @param tokensPerEvent the maximum number of tokens in one event of a stream
 * @param copiesMemory whether engines continuously copy the memory of a request to another engine
 * @param copyRetentionMillis how long such a copy is kept after its last update
 */
public record EngineSpec(
        int slots,
        long memoryTokens,
        int tokensPerEvent,
        boolean copiesMemory,
        long copyRetentionMillis) {}
