package io.siskintrail.router.internal.filter;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Finds the client account by the API key. */
public final class AuthenticateFilter implements RequestFilter {
    private static final String BEARER = "Bearer ";

    private final ApiKeys keys;

    /** Takes the known keys. */
    public AuthenticateFilter(ApiKeys keys) {
        this.keys = keys;
    }

    @Override
    public CompletionStage<Result<AnswerStream>> handle(RequestContext request, Next next) {
        String header = request.authorization();
        if (header == null || !header.startsWith(BEARER)) {
            return refuse(ResultCode.MISSING_API_KEY, "expected header Authorization: Bearer KEY");
        }
        Optional<AccountId> account = keys.accountOf(header.substring(BEARER.length()).trim());
        if (account.isEmpty()) {
            return refuse(ResultCode.UNKNOWN_API_KEY, "the API key is not known here");
        }
        return next.handle(request.withAccount(account.get()));
    }

    private static CompletionStage<Result<AnswerStream>> refuse(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(Result.err(code, detail));
    }
}
