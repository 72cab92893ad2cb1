package io.siskintrail.internal.traffic.placement;

import io.siskintrail.lib.EndpointId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Maps recent prompts to the endpoint that ran their prefill, whichever host sent them there. When
 * an entry host ends with open streams, their clients reconnect to another host, which resumes at
 * the engine that has the prompt in memory instead of repeating the prefill. Not thread-safe.
 */
public final class PrefilledPrompts {
    /** How long a prompt is kept; about the duration of a few streams. */
    private static final long RETENTION_MILLIS = 15_000;

    /** Maximum number of prompts kept; the oldest are evicted first. */
    private static final int MAX_PROMPTS = 16_384;

    private final Map<PromptId, Location> locations = new LinkedHashMap<>();

    private record Location(EndpointId endpoint, long recordedAtMillis) {}

    /** Records the endpoint that ran the prefill of a prompt, and evicts old entries. */
    public void recordPrefill(PrefilledPrompt prefilled, long nowMillis) {
        locations.remove(prefilled.prompt());
        locations.put(prefilled.prompt(), new Location(prefilled.endpoint(), nowMillis));
        Iterator<Location> oldest = locations.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = nowMillis - oldest.next().recordedAtMillis() > RETENTION_MILLIS;
            if (!expired && locations.size() <= MAX_PROMPTS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Returns the endpoint that last ran the prefill of {@code prompt}, or null when none did
     * recently.
     */
    public EndpointId findEndpoint(PromptId prompt, long nowMillis) {
        Location location = prompt == null ? null : locations.get(prompt);
        boolean known =
                location != null && nowMillis - location.recordedAtMillis() <= RETENTION_MILLIS;
        return known ? location.endpoint() : null;
    }
}
