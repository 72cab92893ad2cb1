package io.siskintrail.internal.traffic.endpoint;

/** Lifecycle state of an endpoint. Of two otherwise equal reports the later constant wins. */
public enum EndpointState {
    /** Accepts requests. */
    READY,
    /** Sent no recent reports; it may have ended or only be partitioned from the registry. */
    SILENT,
    /** Accepts no new requests and will shut down. */
    DRAINING,
    /** Has shut down or was replaced; final for the incarnation. */
    GONE
}
