package io.siskintrail.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.lib.ModelId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A request to an engine.
 *
 * @param id the id that chunks repeat
 * @param model the model, adapter and version that must serve it
 * @param prompt the text
 * @param seed the sampling seed
 * @param maxTokens how many tokens the whole output has
 * @param prefix the tokens of the output that are known; generation goes on behind them
 */
record EngineRequest(
        String id, ModelId model, String prompt, long seed, int maxTokens, List<Integer> prefix) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static EngineRequest parse(byte[] body) throws IOException {
        JsonNode json = MAPPER.readTree(body);
        List<Integer> prefix = new ArrayList<>();
        json.path("prefix_token_ids").forEach(n -> prefix.add(n.asInt()));
        ModelId model =
                new ModelId(
                        json.path("model").asText(),
                        json.path("adapter").asText(""),
                        json.path("version").asText());
        return new EngineRequest(
                json.path("request_id").asText(),
                model,
                json.path("prompt").asText(),
                json.path("seed").asLong(),
                json.path("max_tokens").asInt(),
                prefix);
    }
}
