package io.siskintrail.edge;

import io.siskintrail.internal.traffic.placement.PromptId;
import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.List;

/**
 * Call metadata from the headers of a client request.
 *
 * @param requestId the ID that the client gave this attempt; null if absent
 * @param deadlineMillis how long the client waits, in milliseconds; 0 if the client does not say
 * @param apiKey the API key of the client account; null if absent
 * @param lastEventId the ID of the last stream event that the client received; -1 if none
 * @param prompt the part of the prompt that only this request has; null if absent
 * @param sharedParts the parts of the prompt that other requests may have too, at most 32
 * @param promptTokens the prompt size in tokens; 0 if unknown
 * @param outputTokens the maximum response size in tokens; 0 if unknown
 */
public record CallMetadata(
        String requestId,
        long deadlineMillis,
        String apiKey,
        long lastEventId,
        PromptId prompt,
        List<PromptPart> sharedParts,
        int promptTokens,
        int outputTokens) {}
