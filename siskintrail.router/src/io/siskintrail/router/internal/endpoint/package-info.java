/** The endpoints that a router knows and the clients that reach them. */
package io.siskintrail.router.internal.endpoint;
