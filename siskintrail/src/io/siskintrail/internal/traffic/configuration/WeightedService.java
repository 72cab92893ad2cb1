package io.siskintrail.internal.traffic.configuration;

import io.siskintrail.lib.ServiceName;

/**
 * Target service of a route with its weight.
 *
 * @param service the name of the service
 * @param weight the share of requests relative to the other services of the route, at least 0
 */
public record WeightedService(ServiceName service, int weight) {}
