package io.siskintrail.registry.internal;

import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which signatures the edges refuse, for edges that connect later. Keeps the most recent
 * ones, each for the time that an edge named. Not thread-safe.
 */
final class RefusalMemory {
    private static final int MAX_SIGNATURES = 1_024;

    private final Map<CrashSignature, Long> untilMillis = new LinkedHashMap<>();

    /** Records a refusal; one of no time ends an earlier one. */
    void record(long nowMillis, RegistryMessage.Refusal refusal) {
        Long known = untilMillis.remove(refusal.signature());
        if (refusal.millis() <= 0) {
            return;
        }
        if (untilMillis.size() == MAX_SIGNATURES) {
            removeOldest();
        }
        long until = nowMillis + refusal.millis();
        untilMillis.put(refusal.signature(), known == null ? until : Math.max(known, until));
    }

    /** Returns the refusals that have not expired, each with its remaining time. */
    List<RegistryMessage.Refusal> remaining(long nowMillis) {
        untilMillis.values().removeIf(until -> until <= nowMillis);
        return untilMillis.entrySet().stream()
                .map(
                        entry ->
                                new RegistryMessage.Refusal(
                                        entry.getKey(), entry.getValue() - nowMillis))
                .toList();
    }

    private void removeOldest() {
        Iterator<CrashSignature> oldest = untilMillis.keySet().iterator();
        oldest.next();
        oldest.remove();
    }
}
