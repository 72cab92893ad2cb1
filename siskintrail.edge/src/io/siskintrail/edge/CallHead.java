package io.siskintrail.edge;

import io.siskintrail.internal.traffic.PromptId;

/**
 * What the headers of a request say.
 *
 * @param requestId the id of this try of the client; null when it has none
 * @param deadlineMillis how long the client waits; 0 when it does not say
 * @param key the key of its client account; null when it has none
 * @param lastEventId the last event of a stream that the client has; -1 when it has none
 * @param prompt the part of its prompt that is its own; null when it has none
 * @param promptTokens the size of its prompt; 0 when it has none
 * @param outputTokens the most tokens of its answer; 0 when it has none
 */
public record CallHead(
        String requestId,
        long deadlineMillis,
        String key,
        long lastEventId,
        PromptId prompt,
        int promptTokens,
        int outputTokens) {}
