package io.siskintrail.internal.rollout;

/**
 * Limits of rollouts.
 *
 * @param exposureShare the largest part of all requests that a bad version may get, above 0 and at
 *     most 1
 * @param exposureSlack requests that a bad version may get in addition
 * @param contactMillis the time in milliseconds after its last report during which a host counts as
 *     in contact
 */
public record RolloutSettings(double exposureShare, int exposureSlack, long contactMillis) {
    /** The limits that the product promises. */
    public static final RolloutSettings DEFAULT = new RolloutSettings(0.1, 50, 4_000);
}
