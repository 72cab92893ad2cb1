package io.siskintrail.router.internal.stream;

import io.siskintrail.lib.Result;
import io.siskintrail.router.internal.filter.RequestContext;
import io.siskintrail.router.internal.filter.RequestFilter;
import io.siskintrail.router.internal.generation.GenerationService;
import java.util.concurrent.CompletionStage;

/** Ends the chain: starts the generation and answers with its output. */
public final class StreamFilter implements RequestFilter {
    private final GenerationService generations;

    /** Takes the owner of the generations. */
    public StreamFilter(GenerationService generations) {
        this.generations = generations;
    }

    @Override
    public CompletionStage<Result<AnswerStream>> handle(RequestContext request, Next next) {
        return generations.answer(request);
    }
}
