package io.siskintrail.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * An order to an engine about its memory.
 *
 * @param method the method
 * @param target the path
 * @param headers all headers
 * @param body the body; empty if there is none
 */
public record EngineOrder(String method, String target, HttpHeaders headers, byte[] body) {}
