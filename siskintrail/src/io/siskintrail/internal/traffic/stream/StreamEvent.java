package io.siskintrail.internal.traffic.stream;

/**
 * One event of a server-sent event stream.
 *
 * @param id the number of the event; -1 when it has none
 * @param bytes the event as sent, including the empty line that ends it
 */
public record StreamEvent(long id, byte[] bytes) {}
