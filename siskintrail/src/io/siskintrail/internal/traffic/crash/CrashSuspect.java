package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.Set;

/**
 * A request that an endpoint had received, and had not begun to answer, when the endpoint crashed.
 *
 * @param content the digest of the request's account and content
 * @param parts the parts of its prompt that other requests may share; without its own, last part
 */
public record CrashSuspect(Fingerprint content, Set<PromptPart> parts) {

    /** Copies the parts. */
    public CrashSuspect {
        parts = Set.copyOf(parts);
    }
}
