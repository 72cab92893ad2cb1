/**
 * Runs the generation machines of a router: stripes on threads of their own, streams at engines,
 * messages to other routers and the callers of this one.
 */
package io.siskintrail.router.internal.generation;
