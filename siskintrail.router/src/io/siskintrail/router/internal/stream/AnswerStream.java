package io.siskintrail.router.internal.stream;

import io.siskintrail.router.internal.generation.AnswerChunk;
import reactor.core.publisher.Flux;

/**
 * The answer to a completion request.
 *
 * @param id the id that the caller sees
 * @param chunks the output in order; errors with {@link AnswerFailedException} when it cannot be
 *     completed
 */
public record AnswerStream(String id, Flux<AnswerChunk> chunks) {}
