/**
 * Decisions on the path of a request through an edge: its route and client account, the endpoint it
 * is placed on, queueing, retries and rejection, and the order of the events of a stream. This
 * package does no I/O: callers pass in the time and all inputs, and act on the returned decisions.
 */
package io.siskintrail.internal.traffic;
