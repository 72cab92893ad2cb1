/** Rollouts: the move of a service's traffic to endpoints of another version. */
package io.siskintrail.internal.rollout;
