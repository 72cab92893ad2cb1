package io.siskintrail.router.internal.endpoint;

import java.util.List;

/**
 * A piece of an engine's output.
 *
 * @param offset the place of its first token in the whole output
 * @param tokens the token ids
 * @param text the text of the tokens
 * @param finishReason why the output ended, null while it goes on
 */
public record EngineChunk(long offset, List<Integer> tokens, String text, String finishReason) {

    /** Copies the list. */
    public EngineChunk {
        tokens = List.copyOf(tokens);
    }
}
