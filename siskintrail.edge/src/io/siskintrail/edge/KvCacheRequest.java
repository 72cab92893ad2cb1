package io.siskintrail.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * HTTP request to an engine that manages a copy of its KV cache.
 *
 * @param method the HTTP method
 * @param target the request path
 * @param headers all headers
 * @param body the request body; empty if there is none
 */
public record KvCacheRequest(String method, String target, HttpHeaders headers, byte[] body) {}
