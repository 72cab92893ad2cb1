package io.siskintrail.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads and writes JSON. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    static String format(JsonNode node) {
        return node.toPrettyString();
    }
}
