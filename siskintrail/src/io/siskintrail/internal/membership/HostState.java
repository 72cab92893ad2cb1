package io.siskintrail.internal.membership;

/** What the failure detector holds of a host; later states supersede earlier ones. */
public enum HostState {
    /** The host answers. */
    ALIVE,
    /** The host did not answer, neither directly nor by way of others. */
    SUSPECT,
    /** The host stayed suspect until the time to refute it had passed. */
    DEAD
}
