/** Experiments on the request path over real sockets: routers as processes, fake engines. */
package io.siskintrail.bench.path;
