package io.siskintrail.internal.traffic;

/** What may be repeated of the requests on a route. */
public enum RouteKind {
    /** The answer is a stream of numbered events; it may go on elsewhere if the route says so. */
    STREAM,
    /** A request runs at most once. */
    AT_MOST_ONCE,
    /** A request may run any number of times. */
    IDEMPOTENT
}
