package io.siskintrail.router.internal.generation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.router.internal.filter.CompletionCall;

/**
 * The part of a request that an engine needs and a buddy keeps.
 *
 * @param prompt the prompt
 * @param maxTokens how many tokens the whole output may have
 */
public record SpecBody(String prompt, int maxTokens) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static SpecBody of(CompletionCall call) {
        return new SpecBody(call.prompt(), call.maxTokens());
    }

    String toJson() {
        return MAPPER.createObjectNode()
                .put("prompt", prompt)
                .put("max_tokens", maxTokens)
                .toString();
    }

    /** Reads the form that {@link #toJson()} wrote. */
    public static SpecBody parse(String json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return new SpecBody(node.path("prompt").asText(), node.path("max_tokens").asInt());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("body of a generation is not JSON", e);
        }
    }
}
