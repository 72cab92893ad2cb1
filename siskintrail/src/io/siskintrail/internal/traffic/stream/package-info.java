/**
 * Decisions on one stream: the order of its events, when its engine counts as lost, and its
 * attempts.
 */
package io.siskintrail.internal.traffic.stream;
