package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointInfo;

/**
 * An endpoint that may get new work.
 *
 * @param info the endpoint
 * @param untilMillis when the evidence for it ends, by the clock of its {@link Membership}
 */
public record UsableEndpoint(EndpointInfo info, long untilMillis) {}
