package io.siskintrail.internal.traffic.endpoint;

import io.siskintrail.lib.EndpointId;

/**
 * Load that one host, or all hosts together, have placed on an endpoint.
 *
 * @param endpoint the endpoint that carries the load
 * @param running the number of running requests
 * @param tokens the KV cache memory of the requests in tokens, including copies
 * @param prefillMillis the remaining prefill time of the prompts
 */
public record PlacedLoad(EndpointId endpoint, int running, long tokens, long prefillMillis) {}
