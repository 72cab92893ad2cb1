package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;

/**
 * A prompt that an endpoint has read, so that its memory may still hold it.
 *
 * @param prompt the prompt
 * @param endpoint the endpoint
 */
public record ReadPrompt(PromptId prompt, EndpointId endpoint) {}
