/**
 * Chooses the endpoint of a request: engines for streams and their copies, endpoints for short
 * calls.
 */
package io.siskintrail.internal.traffic.placement;
