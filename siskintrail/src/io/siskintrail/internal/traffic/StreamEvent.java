package io.siskintrail.internal.traffic;

/**
 * One event of a stream.
 *
 * @param id its number; -1 when it has none
 * @param bytes the event as sent, its closing empty line included
 */
public record StreamEvent(long id, byte[] bytes) {}
