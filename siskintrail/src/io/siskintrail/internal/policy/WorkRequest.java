package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;

/**
 * One request as the dispatcher sees it.
 *
 * @param ticket names the request on this router; never used twice
 * @param account the client account that pays
 * @param rank which work goes first
 * @param target what the endpoint must have
 * @param key the caller's idempotency key, or null when it gave none
 * @param fingerprint digest of account and content, 0 when unknown; tells a retry under a new key
 * @param promptTokens tokens to be read before the first one is generated, journal included
 * @param maxOutputTokens the most that it may generate, 0 for a plain service
 * @param maxWaitMillis how long the caller waits for the start; the rules may allow less
 * @param prefix chained hashes of the blocks of the prompt, first block first; not modified
 * @param recovery whether it continues a generation whose endpoint failed
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
        long[] prefix,
        boolean recovery) {}
