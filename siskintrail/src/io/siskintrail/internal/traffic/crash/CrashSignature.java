package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.Set;

/** What requests that crash endpoints have in common. */
public sealed interface CrashSignature {

    /** Returns whether a request with this content and these parts has the signature. */
    boolean matches(Fingerprint content, Set<PromptPart> parts);

    /**
     * Matches the requests with one content.
     *
     * @param content the digest of account and content
     */
    record OfContent(Fingerprint content) implements CrashSignature {
        @Override
        public boolean matches(Fingerprint other, Set<PromptPart> parts) {
            return content.equals(other);
        }
    }

    /**
     * Matches the requests that have all of some parts.
     *
     * @param parts the parts; at least one
     */
    record OfParts(Set<PromptPart> parts) implements CrashSignature {
        /** Copies the parts. */
        public OfParts {
            parts = Set.copyOf(parts);
        }

        @Override
        public boolean matches(Fingerprint content, Set<PromptPart> others) {
            return !parts.isEmpty() && others.containsAll(parts);
        }
    }
}
