package io.siskintrail.internal.traffic.placement;

import io.siskintrail.lib.EndpointId;

/**
 * Measured speed of an engine, as a host reports it to the others.
 *
 * @param endpoint the engine
 * @param prefillTokensPerSecond prompt tokens that it prefills in a second without other work
 * @param ageMillis time since the measurement, in milliseconds
 */
public record EngineSpeed(EndpointId endpoint, long prefillTokensPerSecond, long ageMillis) {}
