package io.siskintrail.router.internal.filter;

import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Checks the sizes of a request and pins the model, adapter and version that will serve it. */
public final class IdentifyFilter implements RequestFilter {
    private final RouterSettings.Limits limits;
    private final EndpointDirectory directory;
    private final RulesView rules;

    /** Takes the limits, the endpoints and the rules. */
    public IdentifyFilter(
            RouterSettings.Limits limits, EndpointDirectory directory, RulesView rules) {
        this.limits = limits;
        this.directory = directory;
        this.rules = rules;
    }

    @Override
    public CompletionStage<Result<AnswerStream>> handle(RequestContext request, Next next) {
        CompletionCall call = request.call();
        if (call.prompt().length() > limits.promptChars()) {
            return refuse(
                    ResultCode.INPUT_TOO_LONG,
                    "prompt has %d characters, at most %d are allowed"
                            .formatted(call.prompt().length(), limits.promptChars()));
        }
        if (call.maxTokens() > limits.outputTokens()) {
            return refuse(
                    ResultCode.INPUT_TOO_LONG,
                    "max_tokens is %d, at most %d are allowed"
                            .formatted(call.maxTokens(), limits.outputTokens()));
        }
        Optional<ModelId> model = newest(call.model());
        if (model.isEmpty()) {
            return refuse(ResultCode.UNKNOWN_MODEL, "no endpoint serves model " + call.model());
        }
        return next.handle(request.withModel(model.get(), rank(request, model.get())));
    }

    private Rank rank(RequestContext request, ModelId model) {
        return rules.rules().rank(request.account(), model.model());
    }

    private Optional<ModelId> newest(String name) {
        return directory.models().stream()
                .filter(m -> name.equals(callerName(m)))
                .max(Comparator.comparing(ModelId::version));
    }

    private static String callerName(ModelId model) {
        return model.adapter().isEmpty() ? model.model() : model.model() + "+" + model.adapter();
    }

    private static CompletionStage<Result<AnswerStream>> refuse(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(Result.err(code, detail));
    }
}
