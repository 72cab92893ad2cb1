package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;

/**
 * What a generation computes; fixed for its whole life, but for the model version while nothing was
 * delivered.
 *
 * @param id the generation
 * @param ref the request it answers
 * @param model the pinned model, adapter and version
 * @param rank the rank that the rules give the request
 * @param seed the sampling seed
 * @param fingerprint the digest of account and content
 * @param promptTokens the length of the prompt in tokens, as estimated by the router
 * @param body the request as the engine gets it, in JSON
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
