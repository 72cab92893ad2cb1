package io.siskintrail.internal.generation;

/**
 * The part of a journal that one owner epoch wrote.
 *
 * @param epoch the owner epoch
 * @param start the offset of its first token
 */
public record Segment(OwnerEpoch epoch, int start) {}
