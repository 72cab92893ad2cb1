/**
 * Decides on the rollout of a new version of a service: how many requests each host may send to it,
 * whether it is worse than the old version, and when the old version may stop. This package does no
 * I/O: callers pass in the time and all inputs, and act on the returned leases and decisions.
 */
package io.siskintrail.internal.rollout;
