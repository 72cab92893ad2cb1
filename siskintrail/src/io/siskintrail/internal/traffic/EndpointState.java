package io.siskintrail.internal.traffic;

/** What is known of the life of an endpoint. Later constants win where two reports are equal. */
public enum EndpointState {
    /** Takes work. */
    READY,
    /** Has not been heard of for a while; it may be gone or only cut off from the registry. */
    SILENT,
    /** Takes no new work and is about to leave. */
    DRAINING,
    /** Has left or was replaced; final for its incarnation. */
    GONE
}
