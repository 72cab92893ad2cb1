/**
 * Decisions on the way of a request through an edge: which route and account it belongs to, which
 * endpoint it is placed on, when it waits, is tried again or is turned away, and how the pieces of
 * a stream follow each other. Pure: time and inputs come in, outcomes go out.
 */
package io.siskintrail.internal.traffic;
