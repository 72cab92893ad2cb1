package io.siskintrail.internal.traffic;

import io.siskintrail.internal.generation.Fingerprint;
import java.util.Set;

/**
 * A request that an endpoint had received, and had not begun to answer, when the endpoint crashed.
 *
 * @param content the hash of client account and content
 * @param parts the parts of its prompt without the last one, which belongs to the request
 */
public record CrashSuspect(Fingerprint content, Set<PromptPart> parts) {

    /** Copies the set. */
    public CrashSuspect {
        parts = Set.copyOf(parts);
    }
}
