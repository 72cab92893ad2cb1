package io.siskintrail.lib;

/** Distinguishes model engines from plain services. */
public enum EndpointKind {
    /** A model engine that generates tokens. */
    ENGINE,
    /** A plain service that answers each call with a single response. */
    SERVICE
}
