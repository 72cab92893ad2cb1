package io.siskintrail.internal.generation;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.RequestKey;

/**
 * Names a request across all routers.
 *
 * @param account the client account
 * @param key its idempotency key, or one that the router made when the caller sent none
 */
public record RequestRef(AccountId account, RequestKey key) {}
