package io.siskintrail.router.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.filter.CompletionCall;
import java.io.IOException;

/** Reads the body of a completion request. Fields that the router does not use are ignored. */
final class CompletionParser {
    private static final int DEFAULT_MAX_TOKENS = 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CompletionParser() {}

    static Result<CompletionCall> parse(byte[] body, boolean chat) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (IOException e) {
            return Result.err(ResultCode.BAD_JSON, "the body is not JSON");
        }
        if (json == null || !json.isObject()) {
            return Result.err(ResultCode.BAD_JSON, "the body is not a JSON object");
        }
        if (!json.path("model").isTextual()) {
            return Result.err(ResultCode.MISSING_FIELD, "model: expected a text");
        }
        Result<String> prompt = chat ? messages(json) : prompt(json);
        return prompt.flatMap(text -> call(json, text, chat));
    }

    private static Result<CompletionCall> call(JsonNode json, String prompt, boolean chat) {
        JsonNode max =
                json.has("max_completion_tokens")
                        ? json.get("max_completion_tokens")
                        : json.path("max_tokens");
        if (!absent(max) && !(max.canConvertToInt() && max.isIntegralNumber() && max.asInt() > 0)) {
            return Result.err(ResultCode.BAD_JSON, "max_tokens: expected a positive integer");
        }
        JsonNode seed = json.path("seed");
        if (!absent(seed) && !seed.isIntegralNumber()) {
            return Result.err(ResultCode.BAD_JSON, "seed: expected an integer");
        }
        JsonNode stream = json.path("stream");
        if (!absent(stream) && !stream.isBoolean()) {
            return Result.err(ResultCode.BAD_JSON, "stream: expected true or false");
        }
        return Result.ok(
                new CompletionCall(
                        json.path("model").asText(),
                        prompt,
                        absent(max) ? DEFAULT_MAX_TOKENS : max.asInt(),
                        absent(seed) ? null : Long.valueOf(seed.asLong()),
                        stream.asBoolean(false),
                        chat));
    }

    private static Result<String> prompt(JsonNode json) {
        JsonNode prompt = json.path("prompt");
        if (prompt.isTextual()) {
            return Result.ok(prompt.asText());
        }
        if (prompt.isArray() && prompt.size() == 1 && prompt.get(0).isTextual()) {
            return Result.ok(prompt.get(0).asText());
        }
        return Result.err(ResultCode.MISSING_FIELD, "prompt: expected a text");
    }

    private static Result<String> messages(JsonNode json) {
        JsonNode messages = json.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            return Result.err(ResultCode.MISSING_FIELD, "messages: expected a list of messages");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || absent(message.path("content"))) {
                return Result.err(
                        ResultCode.BAD_JSON, "messages: expected role and content in each");
            }
            text.append(message.path("role").asText()).append(": ");
            text.append(content(message.path("content"))).append('\n');
        }
        return Result.ok(text.toString());
    }

    private static String content(JsonNode content) {
        if (content.isTextual()) {
            return content.asText();
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText()));
        return text.toString();
    }

    private static boolean absent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }
}
