/**
 * Event loop of a platform process, links between such processes, and an HTTP server for small
 * requests.
 */
package io.siskintrail.net;
