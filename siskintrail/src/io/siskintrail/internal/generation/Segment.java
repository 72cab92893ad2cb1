package io.siskintrail.internal.generation;

/**
 * Part of a journal that one owner epoch wrote.
 *
 * @param epoch the owner epoch that wrote it
 * @param start the offset of its first token
 */
public record Segment(OwnerEpoch epoch, int start) {}
