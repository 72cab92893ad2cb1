package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps what is refused and until when. A refusal ends some time after the last crash that matched
 * it, however many requests are refused meanwhile: whether the signature still crashes endpoints
 * shows only when a request passes. Refusals that ended by time are remembered for a while, so that
 * one further crash is enough to refuse again, for twice as long. Not thread-safe.
 */
final class RefusedSignatures {
    static final int MAX_SIGNATURES = 1_024;

    /** Period after the last crash or announcement for which a first refusal goes on. */
    static final long QUIET_MILLIS = 600_000;

    /** Longest refusal. */
    static final long MAX_REFUSAL_MILLIS = 6 * 3_600_000L;

    private static final long ANNOUNCE_INTERVAL_MILLIS = QUIET_MILLIS / 2;

    private final Map<CrashSignature, Refusal> refusals = new LinkedHashMap<>();
    private final Map<CrashSignature, Lapse> lapses = new LinkedHashMap<>();
    private final List<CrashEffect> effects;

    private static final class Refusal {
        private final long begunAt;
        private final long quietMillis;
        private long endsAt;
        private long announcedAt;
        private boolean decidedHere;
        private boolean announcedHere;

        private Refusal(long begunAt, long quietMillis) {
            this.begunAt = begunAt;
            this.quietMillis = quietMillis;
            this.announcedAt = begunAt;
        }

        private void extend(long end) {
            endsAt = Math.min(begunAt + MAX_REFUSAL_MILLIS, Math.max(endsAt, end));
        }
    }

    /** A refusal that ended by time. */
    private record Lapse(long endedAt, long quietMillis) {}

    /** Creates an empty set that adds its effects to {@code effects}. */
    RefusedSignatures(List<CrashEffect> effects) {
        this.effects = effects;
    }

    /**
     * Refuses a signature because of the evidence of this host.
     *
     * @param announced whether this host announces the refusal if it is new
     */
    void decide(CrashSignature signature, long nowMillis, boolean announced) {
        Lapse lapse = lapses.remove(signature);
        long quiet =
                lapse == null
                        ? QUIET_MILLIS
                        : Math.min(MAX_REFUSAL_MILLIS, 2 * lapse.quietMillis());
        refuse(signature, nowMillis, quiet, announced);
        Refusal refusal = refusals.get(signature);
        if (refusal != null) {
            refusal.decidedHere = true;
        }
    }

    /** Refuses a signature that another host or a registry announced. */
    void accept(CrashSignature signature, long nowMillis, long millis) {
        long capped = Math.min(millis, MAX_REFUSAL_MILLIS);
        if (capped > 0) {
            refuse(signature, nowMillis, capped, false);
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

    private void extend(CrashSignature signature, long nowMillis) {
        Refusal refusal = refusals.get(signature);
        refusal.extend(nowMillis + refusal.quietMillis);
        boolean due = nowMillis - refusal.announcedAt >= ANNOUNCE_INTERVAL_MILLIS;
        if (due && refusal.announcedHere) {
            announce(signature, refusal, nowMillis);
        }
    }

    /** Returns the signatures whose refusal ended by time before the crash that matches them. */
    List<CrashSignature> findRelapses(Crash crash) {
        return lapses.entrySet().stream()
                .filter(e -> crash.atMillis > e.getValue().endedAt() && crash.matches(e.getKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Forgets earlier refusals that an answered request matched. */
    void forgetLapses(Fingerprint content, Set<PromptPart> parts) {
        if (!lapses.isEmpty()) {
            lapses.keySet().removeIf(signature -> signature.matches(content, parts));
        }
    }

    /**
     * Narrows the refusals of parts to those without the answered parts.
     *
     * @param announced whether this host announces the change although another one announced the
     *     refusal
     */
    void narrow(Set<PromptPart> answered, long nowMillis, boolean announced) {
        for (CrashSignature signature : signatures()) {
            if (signature instanceof OfParts refused && containsAny(refused.parts(), answered)) {
                narrow(refused, answered, nowMillis, announced);
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

    /**
     * Ends a refusal before its time.
     *
     * @param announced whether this host announces the end although another one announced the
     *     refusal
     */
    void lift(CrashSignature signature, boolean announced) {
        Refusal refusal = remove(signature);
        if (refusal != null && (announced || refusal.announcedHere)) {
            effects.add(new CrashEffect.Announce(signature, 0));
        }
    }

    /** Ends the refusals whose time is over and forgets those that ended long ago. */
    void expire(long nowMillis) {
        for (CrashSignature signature : signatures()) {
            if (nowMillis >= refusals.get(signature).endsAt) {
                Refusal ended = remove(signature);
                lapses.remove(signature);
                lapses.put(signature, new Lapse(ended.endsAt, ended.quietMillis));
            }
        }
        lapses.values().removeIf(lapse -> nowMillis - lapse.endedAt() >= MAX_REFUSAL_MILLIS);
        if (lapses.size() > MAX_SIGNATURES) {
            lapses.remove(lapses.keySet().iterator().next());
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

    private void refuse(CrashSignature signature, long now, long millis, boolean announced) {
        CrashSignature covering = findCovering(signature);
        if (covering != null) {
            refusals.get(covering).extend(now + millis);
            return;
        }
        Refusal refusal = new Refusal(now, Math.max(QUIET_MILLIS, millis));
        refusal.extend(now + millis);
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
                lift(other, false);
            }
        }
    }

    private void narrow(OfParts refused, Set<PromptPart> answered, long now, boolean announced) {
        Refusal refusal = refusals.get(refused);
        if (refusal == null) {
            return;
        }
        lift(refused, announced);
        Set<PromptPart> rest = new HashSet<>(refused.parts());
        rest.removeAll(answered);
        if (!rest.isEmpty()) {
            boolean restAnnounced = announced || refusal.announcedHere;
            refuse(new OfParts(rest), now, refusal.endsAt - now, restAnnounced);
        }
    }

    private void announce(CrashSignature signature, Refusal refusal, long now) {
        refusal.announcedAt = now;
        refusal.announcedHere = true;
        effects.add(new CrashEffect.Announce(signature, refusal.endsAt - now));
    }

    /** Removes a refusal and returns it, or null when there is none. */
    private Refusal remove(CrashSignature signature) {
        Refusal refusal = refusals.remove(signature);
        if (refusal != null) {
            effects.add(new CrashEffect.SignatureRefused(signature, false));
        }
        return refusal;
    }

    private void evict(CrashSignature added) {
        if (refusals.size() > MAX_SIGNATURES) {
            refusals.entrySet().stream()
                    .filter(e -> !e.getKey().equals(added))
                    .min(Comparator.comparingLong(e -> e.getValue().endsAt))
                    .ifPresent(e -> remove(e.getKey()));
        }
    }

    private static boolean containsAny(Set<PromptPart> parts, Set<PromptPart> others) {
        return parts.stream().anyMatch(others::contains);
    }
}
