package io.siskintrail.internal.traffic.placement;

import io.siskintrail.lib.EndpointId;

/**
 * A prompt for which an endpoint has completed the prefill, so that its KV cache may still hold it.
 *
 * @param prompt the id of the prompt
 * @param endpoint the endpoint that ran the prefill
 */
public record PrefilledPrompt(PromptId prompt, EndpointId endpoint) {}
