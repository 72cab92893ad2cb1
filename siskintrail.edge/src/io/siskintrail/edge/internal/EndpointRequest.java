package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request as it is sent to an endpoint.
 *
 * @param method the method
 * @param target path and query as the client sent them
 * @param headers all headers
 * @param body the body; empty if there is none
 */
record EndpointRequest(String method, String target, HttpHeaders headers, byte[] body) {}
