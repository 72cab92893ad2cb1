package io.siskintrail.router.internal.filter;

import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Refuses new work while this router cannot confirm that its rules are current. The rest of an
 * answer that a caller has in part is not new work.
 */
public final class CurrencyFilter implements RequestFilter {
    private final RulesView rules;

    /** Takes the rules in force. */
    public CurrencyFilter(RulesView rules) {
        this.rules = rules;
    }

    @Override
    public CompletionStage<Result<AnswerStream>> handle(RequestContext request, Next next) {
        if (rules.mayTakeWork() || request.after() != null) {
            return next.handle(request);
        }
        if (request.key() != null) {
            return refuse(
                    ResultCode.RULES_STALE,
                    "this router cannot confirm that its rules are current, and an earlier sending"
                            + " with this key may have run; send it again");
        }
        return refuse(
                ResultCode.NOT_RUN_RULES_STALE,
                "this router cannot confirm that its rules are current; send the request again,"
                        + " the balancer picks another router");
    }

    private static CompletionStage<Result<AnswerStream>> refuse(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(Result.err(code, detail));
    }
}
