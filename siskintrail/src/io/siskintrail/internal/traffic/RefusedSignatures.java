package io.siskintrail.internal.traffic;

import io.siskintrail.internal.traffic.CrashSignature.OfParts;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps what is refused and until when. A refusal ends some time after the last request or crash
 * that matched it. Not thread-safe.
 */
final class RefusedSignatures {
    static final int MAX_SIGNATURES = 1_024;

    /** Period after the last refused request, crash or announcement for which refusal goes on. */
    static final long QUIET_MILLIS = 600_000;

    /** Longest refusal. */
    static final long MAX_REFUSAL_MILLIS = 6 * 3_600_000L;

    private static final long ANNOUNCE_INTERVAL_MILLIS = QUIET_MILLIS / 2;

    private final Map<CrashSignature, Refusal> refusals = new LinkedHashMap<>();
    private final List<CrashEffect> effects;

    private static final class Refusal {
        private final long begunAt;
        private long endsAt;
        private long announcedAt;
        private boolean decidedHere;

        private Refusal(long begunAt) {
            this.begunAt = begunAt;
            this.announcedAt = begunAt;
        }

        private void extend(long end) {
            endsAt = Math.min(begunAt + MAX_REFUSAL_MILLIS, Math.max(endsAt, end));
        }
    }

    /** Creates an empty set that adds its effects to {@code effects}. */
    RefusedSignatures(List<CrashEffect> effects) {
        this.effects = effects;
    }

    /**
     * Refuses a signature because of the evidence of this host, and announces it when it is new.
     */
    void decide(CrashSignature signature, long nowMillis) {
        refuse(signature, nowMillis, nowMillis + QUIET_MILLIS, true);
        Refusal refusal = refusals.get(signature);
        if (refusal != null) {
            refusal.decidedHere = true;
        }
    }

    /** Refuses a signature that another host or a registry announced. */
    void accept(CrashSignature signature, long nowMillis, long millis) {
        long capped = Math.min(millis, QUIET_MILLIS);
        if (capped > 0) {
            refuse(signature, nowMillis, nowMillis + capped, false);
        }
    }

    /** Lets the refusal of a signature go on, because a request or a crash matched it. */
    void extend(CrashSignature signature, long nowMillis) {
        Refusal refusal = refusals.get(signature);
        if (refusal == null) {
            return;
        }
        refusal.extend(nowMillis + QUIET_MILLIS);
        boolean due = nowMillis - refusal.announcedAt >= ANNOUNCE_INTERVAL_MILLIS;
        boolean ending = nowMillis - refusal.begunAt >= MAX_REFUSAL_MILLIS - QUIET_MILLIS;
        if (due && !ending) {
            announce(signature, refusal, nowMillis);
        }
    }

    /** Lets the refusals that match a suspect of the crash go on. */
    void extendMatching(Crash crash, long nowMillis) {
        for (CrashSignature signature : signatures()) {
            if (crash.matches(signature)) {
                extend(signature, nowMillis);
            }
        }
    }

    /** Narrows the refusals of parts to those without the answered parts. */
    void narrow(Set<PromptPart> answered, long nowMillis) {
        for (CrashSignature signature : signatures()) {
            if (signature instanceof OfParts refused && containsAny(refused.parts(), answered)) {
                narrow(refused, answered, nowMillis);
            }
        }
    }

    /** Returns the parts of refused signatures among {@code parts}. */
    Set<PromptPart> findRefusedParts(Set<PromptPart> parts) {
        Set<PromptPart> found = new HashSet<>();
        for (CrashSignature signature : refusals.keySet()) {
            if (signature instanceof OfParts refused) {
                refused.parts().stream().filter(parts::contains).forEach(found::add);
            }
        }
        return found;
    }

    void lift(CrashSignature signature) {
        if (refusals.remove(signature) != null) {
            effects.add(new CrashEffect.SignatureRefused(signature, false));
        }
    }

    void expire(long nowMillis) {
        for (CrashSignature signature : signatures()) {
            if (nowMillis >= refusals.get(signature).endsAt) {
                lift(signature);
            }
        }
    }

    List<CrashSignature> signatures() {
        return new ArrayList<>(refusals.keySet());
    }

    /** Returns the refused signatures that this host's own evidence led to. */
    List<CrashSignature> decidedHere() {
        return signatures().stream().filter(s -> refusals.get(s).decidedHere).toList();
    }

    /** Returns the refused signatures for which this host has no evidence of its own. */
    List<CrashSignature> announced() {
        return signatures().stream().filter(s -> !refusals.get(s).decidedHere).toList();
    }

    Map<CrashSignature, Long> remaining(long nowMillis) {
        Map<CrashSignature, Long> remaining = new LinkedHashMap<>();
        refusals.forEach(
                (signature, refusal) -> {
                    if (refusal.endsAt > nowMillis) {
                        remaining.put(signature, refusal.endsAt - nowMillis);
                    }
                });
        return remaining;
    }

    private void refuse(CrashSignature signature, long now, long end, boolean announced) {
        CrashSignature covering = findCovering(signature);
        if (covering != null) {
            refusals.get(covering).extend(end);
            return;
        }
        Refusal refusal = new Refusal(now);
        refusal.extend(end);
        refusals.put(signature, refusal);
        effects.add(new CrashEffect.SignatureRefused(signature, true));
        if (announced) {
            announce(signature, refusal, now);
        }
        liftWider(signature);
        evict(signature);
    }

    /** Returns the refused signature that refuses all that {@code signature} would, or null. */
    private CrashSignature findCovering(CrashSignature signature) {
        if (refusals.containsKey(signature)) {
            return signature;
        }
        return signatures().stream().filter(s -> covers(s, signature)).findFirst().orElse(null);
    }

    /** Returns whether {@code narrow} has some of the parts of {@code wide} and no others. */
    static boolean covers(CrashSignature narrow, CrashSignature wide) {
        return narrow instanceof OfParts few
                && wide instanceof OfParts many
                && many.parts().containsAll(few.parts());
    }

    private void liftWider(CrashSignature signature) {
        for (CrashSignature other : signatures()) {
            if (!other.equals(signature) && covers(signature, other)) {
                lift(other);
            }
        }
    }

    private void narrow(OfParts refused, Set<PromptPart> answered, long now) {
        Refusal refusal = refusals.get(refused);
        if (refusal == null) {
            return;
        }
        Set<PromptPart> rest = new HashSet<>(refused.parts());
        rest.removeAll(answered);
        if (!rest.isEmpty()) {
            refuse(new OfParts(rest), now, refusal.endsAt, true);
        }
        lift(refused);
    }

    private void announce(CrashSignature signature, Refusal refusal, long now) {
        refusal.announcedAt = now;
        effects.add(new CrashEffect.Announce(signature, refusal.endsAt - now));
    }

    private void evict(CrashSignature added) {
        if (refusals.size() > MAX_SIGNATURES) {
            refusals.entrySet().stream()
                    .filter(e -> !e.getKey().equals(added))
                    .min(Comparator.comparingLong(e -> e.getValue().endsAt))
                    .ifPresent(e -> lift(e.getKey()));
        }
    }

    private static boolean containsAny(Set<PromptPart> parts, Set<PromptPart> others) {
        return parts.stream().anyMatch(others::contains);
    }
}
