package io.siskintrail.router.internal.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import io.siskintrail.internal.generation.Position;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.Result;
import io.siskintrail.router.internal.filter.CompletionCall;
import io.siskintrail.router.internal.filter.RequestChain;
import io.siskintrail.router.internal.filter.RequestContext;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** The OpenAI-compatible completion paths. */
@Controller("/v1")
@Consumes(MediaType.ALL)
final class CompletionsController {
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String LAST_EVENT_HEADER = "Last-Event-ID";

    private final RequestChain chain;

    CompletionsController(RequestChain chain) {
        this.chain = chain;
    }

    @Post("/completions")
    CompletionStage<HttpResponse<?>> completions(HttpRequest<?> http, @Body byte[] body) {
        return handle(http, CompletionParser.parse(body, false));
    }

    @Post("/chat/completions")
    CompletionStage<HttpResponse<?>> chat(HttpRequest<?> http, @Body byte[] body) {
        return handle(http, CompletionParser.parse(body, true));
    }

    private CompletionStage<HttpResponse<?>> handle(
            HttpRequest<?> http, Result<CompletionCall> parsed) {
        if (parsed instanceof Result.Err<CompletionCall> err) {
            return CompletableFuture.completedFuture(ErrorBody.response(err.failure()));
        }
        CompletionCall call = ((Result.Ok<CompletionCall>) parsed).value();
        Result<RequestContext> context = context(http, call);
        if (context instanceof Result.Err<RequestContext> err) {
            return CompletableFuture.completedFuture(ErrorBody.response(err.failure()));
        }
        return chain.handle(((Result.Ok<RequestContext>) context).value())
                .thenCompose(answer -> render(call, answer));
    }

    private static CompletionStage<HttpResponse<?>> render(
            CompletionCall call, Result<AnswerStream> answer) {
        if (answer instanceof Result.Err<AnswerStream> err) {
            return CompletableFuture.completedFuture(ErrorBody.response(err.failure()));
        }
        AnswerStream stream = ((Result.Ok<AnswerStream>) answer).value();
        AnswerRenderer renderer = new AnswerRenderer(call, stream);
        if (call.stream()) {
            return CompletableFuture.completedFuture(
                    HttpResponse.ok(renderer.events())
                            .contentType(MediaType.TEXT_EVENT_STREAM_TYPE));
        }
        return renderer.whole();
    }

    private static Position position(String eventId) {
        Position position = Position.parse(eventId);
        if (position == null) {
            throw new IllegalArgumentException("expected the id of an event of this system");
        }
        return position;
    }

    private static Result<RequestContext> context(HttpRequest<?> http, CompletionCall call) {
        String key = http.getHeaders().get(KEY_HEADER);
        String last = http.getHeaders().get(LAST_EVENT_HEADER);
        try {
            return Result.ok(
                    new RequestContext(
                            http.getHeaders().get("Authorization"),
                            call,
                            key == null ? null : new RequestKey(key),
                            last == null ? null : position(last.trim()),
                            null,
                            null,
                            null));
        } catch (IllegalArgumentException e) {
            return Result.err(
                    io.siskintrail.lib.ResultCode.BAD_HEADER,
                    "header %s or %s: %s".formatted(KEY_HEADER, LAST_EVENT_HEADER, e.getMessage()));
        }
    }
}
