package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;

/**
 * One request as submitted to the dispatcher.
 *
 * @param ticket id of the request on this router, unique for the life of the router
 * @param account client account that is charged
 * @param rank urgent or bulk
 * @param target model or service that the endpoint must serve
 * @param key idempotency key of the caller, or null when the request has none
 * @param fingerprint digest of account and content, 0 when unknown; identifies a retry under a new
 *     key
 * @param promptTokens tokens to compute before the first output token, including the journal
 * @param maxOutputTokens most tokens to generate, 0 for a plain service
 * @param maxWaitMillis longest time in the queue that the caller accepts; the rules may allow less
 * @param prefixHashes chained hashes of the prompt blocks in order of the prompt; never modified
 * @param recovery whether the request continues a generation whose endpoint failed
 */
public record WorkRequest(
        long ticket,
        AccountId account,
        Rank rank,
        Target target,
        RequestKey key,
        long fingerprint,
        int promptTokens,
        int maxOutputTokens,
        long maxWaitMillis,
        long[] prefixHashes,
        boolean recovery) {}
