package io.siskintrail.router.internal.filter;

import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Refuses new work while this router cannot confirm that its rules are current. */
public final class CurrencyFilter implements RequestFilter {
    private final RulesView rules;

    /** Takes the rules in force. */
    public CurrencyFilter(RulesView rules) {
        this.rules = rules;
    }

    @Override
    public CompletionStage<Result<AnswerStream>> handle(RequestContext request, Next next) {
        if (!rules.mayTakeWork()) {
            return CompletableFuture.completedFuture(
                    Result.err(
                            ResultCode.NOT_RUN_RULES_STALE,
                            "this router cannot confirm that its rules are current; send the"
                                    + " request again, the balancer picks another router"));
        }
        return next.handle(request);
    }
}
