/** The router: HTTP entry, request filter chain, streams and endpoint clients. */
package io.siskintrail.router;
