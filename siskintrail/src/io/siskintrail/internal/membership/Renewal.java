package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointId;

/**
 * Says when an endpoint last announced that it takes work.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation
 * @param ageMillis how long ago, by the clock of the sender of this message
 */
public record Renewal(EndpointId endpoint, long incarnation, long ageMillis) {}
