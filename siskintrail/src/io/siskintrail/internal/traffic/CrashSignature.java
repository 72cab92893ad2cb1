package io.siskintrail.internal.traffic;

import io.siskintrail.internal.generation.Fingerprint;
import java.util.Set;

/** What requests that crash endpoints have in common. */
public sealed interface CrashSignature {

    /** Returns whether a request with this content and these shared prompt parts has it. */
    boolean matches(Fingerprint content, Set<PromptPart> parts);

    /** Requests of the same account with the same content. */
    record OfContent(Fingerprint content) implements CrashSignature {

        @Override
        public boolean matches(Fingerprint other, Set<PromptPart> parts) {
            return content.equals(other);
        }
    }

    /** Requests whose prompts have all of these parts. */
    record OfParts(Set<PromptPart> parts) implements CrashSignature {

        /** Copies the set. */
        public OfParts {
            parts = Set.copyOf(parts);
        }

        @Override
        public boolean matches(Fingerprint content, Set<PromptPart> others) {
            return others.containsAll(parts);
        }
    }
}
