package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.service.LogEvent;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/** Signatures whose requests an edge refuses. Confined to the event loop. */
final class RefusedRequests {
    private static final System.Logger LOG = System.getLogger(RefusedRequests.class.getName());

    private final Set<CrashSignature.OfContent> contents = new LinkedHashSet<>();
    private final Set<CrashSignature.OfParts> parts = new LinkedHashSet<>();

    /**
     * Begins or stops to refuse a signature, and logs that.
     *
     * @param died the endpoints whose death speaks against the signature, as far as known
     */
    void set(CrashSignature signature, boolean on, String died) {
        LogEvent.warning(LOG, "content.quarantined")
                .with("fingerprint", describe(signature))
                .with("on", on)
                .with("died", died)
                .write();
        if (signature instanceof CrashSignature.OfContent content) {
            update(contents, content, on);
        } else if (signature instanceof CrashSignature.OfParts ofParts) {
            update(parts, ofParts, on);
        }
    }

    /** Returns a signature of the request that is refused, null if there is none. */
    CrashSignature find(CrashSuspect request) {
        if (!contents.isEmpty()) {
            CrashSignature.OfContent content = new CrashSignature.OfContent(request.content());
            if (contents.contains(content)) {
                return content;
            }
        }
        for (CrashSignature.OfParts candidate : parts) {
            if (candidate.matches(request.content(), request.parts())) {
                return candidate;
            }
        }
        return null;
    }

    private static <T> void update(Set<T> signatures, T signature, boolean on) {
        if (on) {
            signatures.add(signature);
        } else {
            signatures.remove(signature);
        }
    }

    /** Returns the fingerprint of a content, or the prompt parts joined by a plus sign. */
    private static String describe(CrashSignature signature) {
        if (signature instanceof CrashSignature.OfContent content) {
            return Long.toHexString(content.content().high());
        }
        return ((CrashSignature.OfParts) signature)
                .parts().stream()
                        .map(PromptPart::value)
                        .sorted()
                        .collect(Collectors.joining("+", "parts:", ""));
    }
}
