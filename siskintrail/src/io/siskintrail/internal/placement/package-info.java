/**
 * Placement of models on engines: which engine is to hold what, when it is told, and by whom.
 * Orders are absolute ("be in this state"), carry a fencing number, and stop before the lease of
 * the leader does. Fencing numbers follow M. Burrows, "The Chubby lock service", OSDI 2006
 * (sequencers).
 */
package io.siskintrail.internal.placement;
