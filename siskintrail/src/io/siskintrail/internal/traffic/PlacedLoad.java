package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;

/**
 * What one host has placed on an endpoint.
 *
 * @param endpoint the endpoint
 * @param running its requests there
 * @param tokens their memory there, copies included
 * @param prefillMillis how long its prompts there are still to be read
 */
public record PlacedLoad(EndpointId endpoint, int running, long tokens, long prefillMillis) {}
