package io.siskintrail.internal.traffic;

import io.siskintrail.lib.ServiceName;

/**
 * What the configuration says of a service.
 *
 * @param name its name
 * @param healthPath the path of its health check
 * @param maxConnections the most connections that one endpoint accepts, from all callers
 * @param engine the figures of its engines; null for a plain service
 */
public record ServiceSpec(
        ServiceName name, String healthPath, int maxConnections, EngineSpec engine) {}
