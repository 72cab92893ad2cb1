package io.siskintrail.router.internal.filter;

import io.siskintrail.lib.Result;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.concurrent.CompletionStage;

/** One step on the way of a request. A filter answers itself or hands the request on. */
@FunctionalInterface
public interface RequestFilter {

    /**
     * Handles a request.
     *
     * @param request the request as the filters before left it
     * @param next the rest of the chain
     * @return the answer, or a failure; a failure means that nothing was delivered
     */
    CompletionStage<Result<AnswerStream>> handle(RequestContext request, Next next);

    /** The rest of the chain behind a filter. */
    @FunctionalInterface
    interface Next {

        /** Hands {@code request} to the next filter. */
        CompletionStage<Result<AnswerStream>> handle(RequestContext request);
    }
}
