package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * HTTP request as sent to an endpoint.
 *
 * @param method the HTTP method
 * @param target path and query as the client sent them, or the path of a request that the edge
 *     makes
 * @param headers all headers
 * @param body the request body; empty if there is none
 */
record EndpointRequest(String method, String target, HttpHeaders headers, byte[] body) {}
