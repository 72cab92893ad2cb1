package io.siskintrail.service;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.stree.JacksonJrsTreeCodec;
import com.fasterxml.jackson.jr.stree.JrsObject;
import com.fasterxml.jackson.jr.stree.JrsValue;
import java.io.IOException;

/**
 * Parses JSON objects into trees. Uses the tree codec of Jackson jr and no bean mapper: loading a
 * bean mapper, with the date formats and locales that the mapper needs, would by itself take a
 * third of the startup time of an edge or a registry. A program that uses this class brings Jackson
 * jr itself, since the others run without it.
 */
public final class JsonObjects {
    /**
     * Keeps the recursive parser from overflowing the stack on deeply nested input. The most deeply
     * nested message that programs read has five levels.
     */
    private static final int MAX_NESTING_DEPTH = 64;

    private static final JsonFactory FACTORY =
            new JsonFactoryBuilder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                    .build())
                    .build();
    private static final JacksonJrsTreeCodec TREE_CODEC = new JacksonJrsTreeCodec();

    private JsonObjects() {}

    /**
     * Parses the JSON object in {@code content}, which is encoded in UTF-8, UTF-16 or UTF-32.
     *
     * @return the root of the tree, never null
     * @throws IllegalArgumentException if {@code content} is not valid JSON, not an object, or has
     *     further content after the object
     */
    public static JrsObject read(byte[] content) {
        try (JsonParser parser = FACTORY.createParser(content)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("expected a JSON object");
            }
            JrsObject object = (JrsObject) TREE_CODEC.<JrsValue>readTree(parser);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("unexpected content after the JSON object");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read JSON: " + e.getMessage());
        }
    }
}
