package io.siskintrail.router.internal.generation;

import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.siskintrail.internal.generation.AttemptEnd;
import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.internal.generation.Outcome;
import io.siskintrail.internal.generation.TokenRun;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.endpoint.EngineCall;
import io.siskintrail.router.internal.endpoint.EngineChunk;
import io.siskintrail.router.internal.endpoint.EngineClient;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reactor.core.Disposable;

/** Runs the streams of one stripe at engines. Used by the stripe's thread only. */
final class EngineAttempts {
    private final EngineClient engines;
    private final Consumer<GenerationInput> inputs;
    private final Map<GenerationId, Disposable> streams = new HashMap<>();

    /** Reports what engines send to {@code inputs}, on threads of the client. */
    EngineAttempts(EngineClient engines, Consumer<GenerationInput> inputs) {
        this.engines = engines;
        this.inputs = inputs;
    }

    void start(GenerationEffect.StartAttempt e, String address) {
        GenerationId id = e.spec().id();
        int attempt = e.attempt();
        if (address == null) {
            inputs.accept(failed(id, attempt, AttemptEnd.REFUSED, "endpoint is forgotten"));
            return;
        }
        SpecBody body = SpecBody.parse(e.spec().body());
        EngineCall call =
                new EngineCall(
                        id + "." + e.epoch().number() + "." + attempt,
                        e.spec().model(),
                        body.prompt(),
                        e.spec().seed(),
                        body.maxTokens(),
                        e.spec().rank(),
                        ids(e.prefix()));
        Disposable stream =
                engines.run(address, call)
                        .subscribe(
                                chunk -> inputs.accept(toInput(id, attempt, chunk)),
                                error -> inputs.accept(failed(id, attempt, error)),
                                () ->
                                        inputs.accept(
                                                failed(
                                                        id,
                                                        attempt,
                                                        AttemptEnd.RESET,
                                                        "stream ended before its output")));
        streams.put(id, stream);
    }

    /** Closes the connection of the attempt, which cancels it at the engine. */
    void end(GenerationId id) {
        Disposable stream = streams.remove(id);
        if (stream != null) {
            stream.dispose();
        }
    }

    void close() {
        streams.values().forEach(Disposable::dispose);
    }

    private static GenerationInput toInput(GenerationId id, int attempt, EngineChunk chunk) {
        Outcome end =
                chunk.finishReason() == null
                        ? null
                        : new Outcome(ResultCode.OK, chunk.finishReason());
        return new GenerationInput.Chunk(
                id, attempt, Math.toIntExact(chunk.offset()), run(chunk), end);
    }

    /** Gives the text of a chunk with several tokens to the last of them. */
    private static TokenRun run(EngineChunk chunk) {
        int size = chunk.tokens().size();
        if (size == 0) {
            return TokenRun.EMPTY;
        }
        int[] ids = new int[size];
        int[] ends = new int[size];
        for (int i = 0; i < size; i++) {
            ids[i] = chunk.tokens().get(i);
        }
        ends[size - 1] = chunk.text().length();
        return TokenRun.of(ids, chunk.text(), ends);
    }

    private static List<Integer> ids(TokenRun prefix) {
        List<Integer> ids = new ArrayList<>(prefix.size());
        for (int i = 0; i < prefix.size(); i++) {
            ids.add(prefix.id(i));
        }
        return ids;
    }

    private static GenerationInput failed(GenerationId id, int attempt, Throwable error) {
        return failed(id, attempt, cause(error), error.toString());
    }

    private static AttemptEnd cause(Throwable error) {
        if (error instanceof HttpClientResponseException) {
            return AttemptEnd.REFUSED;
        }
        for (Throwable t = error; t != null; t = t.getCause()) {
            if (t instanceof ConnectException) {
                return AttemptEnd.UNREACHABLE;
            }
        }
        return AttemptEnd.RESET;
    }

    private static GenerationInput failed(
            GenerationId id, int attempt, AttemptEnd cause, String detail) {
        return new GenerationInput.AttemptFailed(id, attempt, cause, detail);
    }
}
