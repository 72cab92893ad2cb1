package io.siskintrail.internal.rollout;

/** The state of a rollout. */
public enum RolloutState {
    /** Both versions may receive requests; the new one only under leases. */
    RUNNING,
    /** All requests go to the new version; the old one may stop without draining. */
    COMPLETED,
    /** All requests go to the old version; the new one drains. */
    ROLLED_BACK
}
