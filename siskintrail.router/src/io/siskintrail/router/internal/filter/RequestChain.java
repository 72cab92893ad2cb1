package io.siskintrail.router.internal.filter;

import io.siskintrail.lib.Result;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Sends requests through the filters, in order. */
public final class RequestChain {
    private final List<RequestFilter> filters;

    /** Takes the filters; the last one must answer every request. */
    public RequestChain(List<RequestFilter> filters) {
        this.filters = List.copyOf(filters);
    }

    /** Handles {@code request}. */
    public CompletionStage<Result<AnswerStream>> handle(RequestContext request) {
        return from(0, request);
    }

    private CompletionStage<Result<AnswerStream>> from(int index, RequestContext request) {
        return filters.get(index).handle(request, r -> from(index + 1, r));
    }
}
