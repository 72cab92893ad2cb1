package io.siskintrail.internal.traffic.configuration;

/** Determines whether the requests on a route may be retried. */
public enum RouteKind {
    /**
     * The answer is a stream of numbered events, resumable at another endpoint if the route allows
     * it.
     */
    STREAM,
    /** A request is executed at most once. */
    AT_MOST_ONCE,
    /** A request may be executed any number of times. */
    IDEMPOTENT
}
