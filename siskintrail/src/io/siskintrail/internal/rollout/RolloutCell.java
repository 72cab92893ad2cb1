package io.siskintrail.internal.rollout;

/**
 * What requests are counted by during a rollout.
 *
 * @param route the route of the request
 * @param newVersion whether the endpoint runs the new version
 * @param domain the failure domain of the endpoint
 * @param endpoint the endpoint; edges leave it empty for the old version, whose counts are only
 *     compared as sums
 */
public record RolloutCell(String route, boolean newVersion, String domain, String endpoint) {}
