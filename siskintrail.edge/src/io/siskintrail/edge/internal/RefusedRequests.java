package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.CrashSignature;
import io.siskintrail.internal.traffic.CrashSuspect;
import java.util.LinkedHashSet;
import java.util.Set;

/** Signatures whose requests an edge refuses. Confined to the event loop. */
final class RefusedRequests {
    private final Set<CrashSignature.OfContent> contents = new LinkedHashSet<>();
    private final Set<CrashSignature.OfParts> parts = new LinkedHashSet<>();

    /** Begins or stops to refuse a signature. */
    void set(CrashSignature signature, boolean on) {
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
}
