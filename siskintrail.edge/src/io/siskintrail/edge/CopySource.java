package io.siskintrail.edge;

/**
 * Identifies a copy of the KV cache of an earlier attempt.
 *
 * @param address {@code ip:port} of the endpoint that the copy is registered under
 * @param name the name of the copy at that endpoint
 */
public record CopySource(String address, String name) {}
