package io.siskintrail.router.internal.filter;

import io.siskintrail.internal.generation.Position;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;

/**
 * A completion request on its way through the filters. Fields that no filter has found out yet are
 * null.
 *
 * @param authorization the Authorization header, or null
 * @param call what the caller asks for
 * @param key the caller's idempotency key, or null
 * @param after what the caller has already, null when nothing
 * @param account the client account, found by the key
 * @param model the pinned model, adapter and version
 * @param rank the rank that the rules in force give it
 */
public record RequestContext(
        String authorization,
        CompletionCall call,
        RequestKey key,
        Position after,
        AccountId account,
        ModelId model,
        Rank rank) {

    /** Returns this request with the account set. */
    public RequestContext withAccount(AccountId id) {
        return new RequestContext(authorization, call, key, after, id, model, rank);
    }

    /** Returns this request with the model and its rank set. */
    public RequestContext withModel(ModelId id, Rank newRank) {
        return new RequestContext(authorization, call, key, after, account, id, newRank);
    }
}
