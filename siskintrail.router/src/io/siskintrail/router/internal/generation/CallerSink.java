package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.Outcome;
import io.siskintrail.internal.generation.TokenRun;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.router.internal.stream.AnswerFailedException;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import reactor.core.publisher.Sinks;

/**
 * Hands an answer to one caller. The answer begins with its first token or its end, so that a
 * failure before any token becomes an HTTP status. Filled by the thread of one stripe.
 */
final class CallerSink {
    private final String id;
    private final Runnable onCancel;
    private final Sinks.Many<AnswerChunk> chunks = Sinks.many().unicast().onBackpressureBuffer();
    private final CompletableFuture<Result<AnswerStream>> begun = new CompletableFuture<>();

    CallerSink(String id, Runnable onCancel) {
        this.id = id;
        this.onCancel = onCancel;
    }

    CompletionStage<Result<AnswerStream>> begun() {
        return begun;
    }

    void deliver(GenerationEffect.Deliver e) {
        int offset = e.after().offset() - e.run().size();
        chunks.emitNext(
                new AnswerChunk(offset, e.run(), e.after().toEventId(), null),
                Sinks.EmitFailureHandler.FAIL_FAST);
        begin();
    }

    void finish(Outcome outcome, int tokens) {
        if (outcome.isWhole()) {
            chunks.tryEmitNext(new AnswerChunk(tokens, TokenRun.EMPTY, null, outcome.reason()));
            chunks.tryEmitComplete();
            begin();
            return;
        }
        Failure failure = new Failure(outcome.code(), outcome.reason());
        if (!begun.complete(new Result.Err<>(failure))) {
            chunks.tryEmitError(new AnswerFailedException(failure));
        }
    }

    private void begin() {
        if (!begun.isDone()) {
            begun.complete(Result.ok(new AnswerStream(id, chunks.asFlux().doOnCancel(onCancel))));
        }
    }
}
