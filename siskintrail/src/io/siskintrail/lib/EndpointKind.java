package io.siskintrail.lib;

/** Says what an endpoint runs. */
public enum EndpointKind {
    /** A model engine that generates tokens. */
    ENGINE,
    /** A plain service that answers single calls. */
    SERVICE
}
