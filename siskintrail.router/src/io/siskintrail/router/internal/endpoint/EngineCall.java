package io.siskintrail.router.internal.endpoint;

import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import java.util.List;

/**
 * One attempt of a generation, as an engine is asked to run it.
 *
 * @param requestId the id of the generation and the attempt
 * @param model the exact model, adapter and version
 * @param prompt the prompt
 * @param seed the sampling seed
 * @param maxTokens how many tokens the whole output may have
 * @param rank which requests the engine should run first
 * @param prefix the tokens known from earlier attempts
 */
public record EngineCall(
        String requestId,
        ModelId model,
        String prompt,
        long seed,
        int maxTokens,
        Rank rank,
        List<Integer> prefix) {}
