/**
 * Rollouts: the move of a service's traffic to endpoints of another version. Holds the orders and
 * their state, and decides how many requests each host may send to the new version, whether it is
 * worse than the old one, and when the old version may stop. This package does no I/O: callers pass
 * in the time and all inputs, and act on the returned leases and decisions.
 */
package io.siskintrail.internal.rollout;
