package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Remembers the parts that another host refuses and this host does not, so that the next answer
 * here lifts the refusal there. Not thread-safe.
 */
final class ContradictedParts {
    private static final int MAX_PARTS = 1_024;

    private final Map<PromptPart, Long> ends = new LinkedHashMap<>();

    /** Records that another host refuses the part until {@code endMillis}. */
    void add(PromptPart part, long endMillis) {
        ends.remove(part);
        ends.put(part, endMillis);
        if (ends.size() > MAX_PARTS) {
            ends.remove(ends.keySet().iterator().next());
        }
    }

    /** Removes and returns those of the parts that another host still refuses. */
    Set<PromptPart> take(Set<PromptPart> parts, long nowMillis) {
        Set<PromptPart> taken = new HashSet<>();
        for (PromptPart part : parts) {
            Long end = ends.remove(part);
            if (end != null && nowMillis < end) {
                taken.add(part);
            }
        }
        return taken;
    }
}
