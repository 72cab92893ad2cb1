package io.siskintrail.edge;

/**
 * Names a copy of the memory of an earlier attempt.
 *
 * @param address {@code ip:port} of the endpoint whose name the copy goes by
 * @param name the name of the copy there
 */
public record CopySource(String address, String name) {}
