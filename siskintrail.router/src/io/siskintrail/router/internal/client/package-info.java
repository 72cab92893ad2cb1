/** HTTP clients of the router for endpoints. */
package io.siskintrail.router.internal.client;
