package io.siskintrail.internal.traffic;

import io.siskintrail.lib.ServiceName;

/**
 * One of the services that a route leads to.
 *
 * @param service the service
 * @param weight its share among the services of the route, not negative
 */
public record WeightedService(ServiceName service, int weight) {}
