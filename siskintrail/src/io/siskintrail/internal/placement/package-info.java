/**
 * Placement of models on engines: decides which engine holds which model, and when the leader sends
 * which order. Orders are absolute ("be in this state"), carry a fencing token and are not sent
 * once the lease of the leader has expired. Fencing tokens follow M. Burrows, "The Chubby lock
 * service", OSDI 2006 (sequencers).
 */
package io.siskintrail.internal.placement;
