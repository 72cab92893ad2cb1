package io.siskintrail.router.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.sse.Event;
import io.siskintrail.internal.generation.TokenRun;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.filter.CompletionCall;
import io.siskintrail.router.internal.generation.AnswerChunk;
import io.siskintrail.router.internal.stream.AnswerFailedException;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import reactor.core.publisher.Flux;

/** Renders an answer in the forms of the OpenAI API. */
final class AnswerRenderer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DONE = "[DONE]";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final CompletionCall call;
    private final AnswerStream answer;
    private final long created = System.currentTimeMillis() / MILLIS_PER_SECOND;

    AnswerRenderer(CompletionCall call, AnswerStream answer) {
        this.call = call;
        this.answer = answer;
    }

    /**
     * Returns the answer as server-sent events; the id of each says what the caller has behind it.
     */
    Flux<Event<String>> events() {
        return answer.chunks()
                .map(this::event)
                .concatWithValues(Event.of(DONE))
                .onErrorResume(e -> Flux.just(Event.of(ErrorBody.json(failure(e)))));
    }

    /** Returns the answer as one JSON document. */
    CompletionStage<HttpResponse<?>> whole() {
        return answer.chunks()
                .collectList()
                .<HttpResponse<?>>map(
                        chunks ->
                                HttpResponse.ok(document(chunks))
                                        .contentType(MediaType.APPLICATION_JSON_TYPE))
                .onErrorResume(
                        e -> reactor.core.publisher.Mono.just(ErrorBody.response(failure(e))))
                .toFuture();
    }

    private Event<String> event(AnswerChunk chunk) {
        ObjectNode root = root(call.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = choice(root, chunk.finishReason());
        if (call.chat()) {
            ObjectNode delta = choice.putObject("delta");
            if (chunk.offset() == 0) {
                delta.put("role", "assistant");
            }
            delta.put("content", chunk.run().text());
        } else {
            choice.put("text", chunk.run().text());
        }
        putTokens(choice, List.of(chunk.run()));
        Event<String> event = Event.of(root.toString());
        return chunk.eventId() == null ? event : event.id(chunk.eventId());
    }

    private String document(List<AnswerChunk> chunks) {
        StringBuilder text = new StringBuilder();
        List<TokenRun> runs = new ArrayList<>();
        String finish = "stop";
        for (AnswerChunk chunk : chunks) {
            text.append(chunk.run().text());
            runs.add(chunk.run());
            finish = chunk.finishReason() == null ? finish : chunk.finishReason();
        }
        ObjectNode root = root(call.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = choice(root, finish);
        if (call.chat()) {
            ObjectNode message = choice.putObject("message");
            message.put("role", "assistant");
            message.put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        putTokens(choice, runs);
        ObjectNode usage = root.putObject("usage");
        int promptTokens = call.promptTokens();
        int tokens = runs.stream().mapToInt(TokenRun::size).sum();
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", tokens);
        usage.put("total_tokens", promptTokens + tokens);
        return root.toString();
    }

    private ObjectNode root(String object) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("id", answer.id());
        root.put("object", object);
        root.put("created", created);
        root.put("model", call.model());
        return root;
    }

    private static ObjectNode choice(ObjectNode root, String finishReason) {
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("finish_reason", finishReason);
        return choice;
    }

    private static void putTokens(ObjectNode choice, List<TokenRun> runs) {
        ArrayNode ids = choice.putArray("token_ids");
        for (TokenRun run : runs) {
            for (int i = 0; i < run.size(); i++) {
                ids.add(run.id(i));
            }
        }
    }

    private static Failure failure(Throwable e) {
        if (e instanceof AnswerFailedException failed) {
            return failed.failure();
        }
        return new Failure(ResultCode.INTERNAL, "unexpected " + e.getClass().getSimpleName());
    }
}
