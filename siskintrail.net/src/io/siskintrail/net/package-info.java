/**
 * The event loop that a platform process lives on, the links between such processes, and small HTTP
 * servers.
 */
package io.siskintrail.net;
