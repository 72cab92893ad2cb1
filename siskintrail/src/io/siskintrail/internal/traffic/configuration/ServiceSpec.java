package io.siskintrail.internal.traffic.configuration;

import io.siskintrail.lib.ServiceName;

/**
 * Configuration of a service.
 *
 * @param name the name that routes refer to
 * @param healthPath the URL path of the health check of its endpoints
 * @param maxConnections the maximum number of connections that one endpoint accepts, from all
 *     callers together
 * @param engine the properties of its engines; null for a service that is no model engine
 */
public record ServiceSpec(
        ServiceName name, String healthPath, int maxConnections, EngineSpec engine) {}
