package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers where prompts were read lately, whichever host sent them there. Answers entry hosts
 * that end with streams open: their clients come to another host, which goes on at the engine that
 * has the prompt in memory instead of having it read a second time. Not safe for use by several
 * threads.
 */
public final class ReadPrompts {
    /** Time that a prompt is remembered, in milliseconds; about that of a few streams. */
    private static final long KEPT_MILLIS = 15_000;

    /** Prompts that are remembered at most. */
    private static final int MAX_PROMPTS = 16_384;

    private final Map<PromptId, Place> places = new LinkedHashMap<>();

    private record Place(EndpointId endpoint, long atMillis) {}

    /** Notes that a prompt was read. */
    public void read(ReadPrompt read, long nowMillis) {
        places.remove(read.prompt());
        places.put(read.prompt(), new Place(read.endpoint(), nowMillis));
        Iterator<Place> oldest = places.values().iterator();
        while (oldest.hasNext()) {
            boolean old = nowMillis - oldest.next().atMillis() > KEPT_MILLIS;
            if (!old && places.size() <= MAX_PROMPTS) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns the endpoint that read {@code prompt} last, null when none did lately. */
    public EndpointId whereRead(PromptId prompt, long nowMillis) {
        Place place = prompt == null ? null : places.get(prompt);
        boolean known = place != null && nowMillis - place.atMillis() <= KEPT_MILLIS;
        return known ? place.endpoint() : null;
    }
}
