package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The crash of one endpoint with the suspects that any host reported. Not thread-safe. */
final class Crash {
    static final int MAX_SUSPECTS = 64;
    static final int MAX_PARTS = 32;

    final EndpointId endpoint;
    final long atMillis;
    final Map<Fingerprint, Set<PromptPart>> suspects = new LinkedHashMap<>();

    /** Whether other endpoints crashed at the same moment. */
    boolean isOneOfMany;

    /** Whether unanswered requests of this host were on the endpoint. */
    boolean observedHere;

    /** The refused parts that explained the crash at the last evaluation. */
    List<OfParts> causes = List.of();

    Crash(EndpointId endpoint, long atMillis) {
        this.endpoint = endpoint;
        this.atMillis = atMillis;
    }

    /** Joins the suspects of one report; returns whether one of them is new. */
    boolean join(List<CrashSuspect> reported) {
        boolean changed = false;
        for (CrashSuspect suspect : reported) {
            changed |= join(suspect);
        }
        return changed;
    }

    private boolean join(CrashSuspect suspect) {
        Set<PromptPart> parts = suspects.get(suspect.content());
        if (parts == null && suspects.size() >= MAX_SUSPECTS) {
            return false;
        }
        Set<PromptPart> joined = new HashSet<>(suspect.parts());
        if (parts != null) {
            joined.addAll(parts);
        }
        boolean changed = !joined.equals(parts);
        suspects.put(suspect.content(), joined);
        return changed;
    }

    /** Returns whether the part could have caused the crash, as far as is known. */
    boolean isSuspected(PromptPart part) {
        boolean open = causes.isEmpty() || causes.stream().anyMatch(c -> c.parts().contains(part));
        return open && hasPart(part);
    }

    private boolean hasPart(PromptPart part) {
        return suspects.values().stream().anyMatch(parts -> parts.contains(part));
    }

    boolean matches(CrashSignature signature) {
        return suspects.entrySet().stream()
                .anyMatch(e -> signature.matches(e.getKey(), e.getValue()));
    }
}
