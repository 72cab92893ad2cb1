package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.TokenRun;

/**
 * A piece of an answer.
 *
 * @param offset the place of its first token in the whole answer
 * @param run the tokens; empty in the last piece
 * @param eventId what a caller that reconnects sends as Last-Event-ID; null in the last piece
 * @param finishReason why the answer ended, null while it goes on
 */
public record AnswerChunk(int offset, TokenRun run, String eventId, String finishReason) {}
