package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;

/**
 * Work of a generation. It never changes, except that the model version may change until the first
 * token is delivered.
 *
 * @param id identifies this start of the request
 * @param ref the request it answers
 * @param model the pinned model, adapter and version
 * @param rank the rank that the rules assign to the request
 * @param seed the sampling seed
 * @param fingerprint the digest of account and content
 * @param promptTokens the router's estimate of the prompt length in tokens
 * @param body the JSON request that the engine receives
 */
public record GenerationSpec(
        GenerationId id,
        RequestRef ref,
        ModelId model,
        Rank rank,
        long seed,
        Fingerprint fingerprint,
        int promptTokens,
        String body) {

    /** Returns the same work under another id. */
    GenerationSpec withId(GenerationId other) {
        return new GenerationSpec(other, ref, model, rank, seed, fingerprint, promptTokens, body);
    }

    /** Returns the same generation pinned to {@code other}. */
    GenerationSpec withModel(ModelId other) {
        return new GenerationSpec(id, ref, other, rank, seed, fingerprint, promptTokens, body);
    }
}
