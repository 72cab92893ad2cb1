package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfContent;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * Finds out which contents and which parts of prompts crash the endpoints that begin to answer
 * them. Every host reports to the others which of its requests were unanswered on an endpoint that
 * crashed, and vouches for parts that it saw answered; so all decide alike. What crashed several
 * endpoints, and was not answered since, is refused for some time. What many endpoints lost at once
 * is no evidence, because the loss of a host, rack or network is then the more likely cause.
 */
public final class CrashAnalysis implements StateMachine<CrashInput, CrashEffect> {
    /** Wait for reports of other hosts about a crash before it is evaluated. */
    public static final long SETTLE_MILLIS = 150;

    /** Period after the last matching crash for which a signature is refused the first time. */
    public static final long QUIET_MILLIS = RefusedSignatures.QUIET_MILLIS;

    private static final int MIN_EVIDENCE = 2;
    private static final long NEVER = Long.MAX_VALUE;

    private final List<CrashEffect> effects = new ArrayList<>();
    private final CrashMemory crashes = new CrashMemory();
    private final SoundParts soundParts = new SoundParts(crashes);
    private final RefusedSignatures refused = new RefusedSignatures(effects);
    private final ContradictedParts contradicted = new ContradictedParts();
    private final VouchDelays vouchDelays;
    private long firstChangeAt = NEVER;
    private long lastChangeAt = NEVER;

    /** Creates the analysis of a host that is alone. */
    public CrashAnalysis() {
        this(() -> 1, () -> 0);
    }

    /**
     * Creates the analysis of one of several hosts.
     *
     * @param hostCount returns how many hosts there are, this one included
     * @param random a source of uniformly distributed numbers from 0 to below 1; the caller seeds
     *     it
     */
    public CrashAnalysis(IntSupplier hostCount, DoubleSupplier random) {
        vouchDelays = new VouchDelays(hostCount, random);
    }

    @Override
    public List<CrashEffect> step(long nowMillis, CrashInput input) {
        if (input instanceof CrashInput.Crashed in) {
            handleCrashed(nowMillis, in);
        } else if (input instanceof CrashInput.Reported in) {
            List<CrashSuspect> suspects = limit(in.suspects());
            recordCrash(nowMillis, in.endpoint(), suspects);
            vouch(nowMillis, suspects);
        } else if (input instanceof CrashInput.Answered in) {
            handleAnswered(nowMillis, in.content(), in.parts());
        } else if (input instanceof CrashInput.ReportedSound in) {
            Set<PromptPart> sound = soundParts.recordVouched(in.ageMillis(), nowMillis);
            vouchDelays.drop(sound);
            refused.narrow(sound, nowMillis, false);
        } else if (input instanceof CrashInput.Announced in) {
            handleAnnounced(nowMillis, in.signature(), in.millis());
        } else {
            handleTick(nowMillis);
        }
        List<CrashEffect> taken = List.copyOf(effects);
        effects.clear();
        return taken;
    }

    /**
     * Returns what is refused now and for how many more milliseconds, to tell a registry that has
     * just been reached.
     */
    public Map<CrashSignature, Long> refused(long nowMillis) {
        return refused.remaining(nowMillis);
    }

    private void handleCrashed(long now, CrashInput.Crashed in) {
        List<CrashSuspect> suspects = limit(in.suspects());
        boolean known = crashes.find(in.endpoint(), now) != null;
        Crash crash = recordCrash(now, in.endpoint(), suspects);
        crash.observedHere |= !suspects.isEmpty();
        if (!known || !suspects.isEmpty()) {
            effects.add(new CrashEffect.ReportCrash(in.endpoint(), suspects));
        }
        vouch(now, suspects);
    }

    private Crash recordCrash(long now, EndpointId endpoint, List<CrashSuspect> suspects) {
        Crash known = crashes.find(endpoint, now);
        Crash crash = known == null ? crashes.add(endpoint, now) : known;
        boolean changed = crashes.join(crash, suspects);
        if (known == null || changed) {
            refused.extendMatching(crash, now);
            recordChange(now);
        }
        return crash;
    }

    /** Records that the evidence changed, and asks for an evaluation unless one is due anyway. */
    private void recordChange(long now) {
        lastChangeAt = now;
        if (firstChangeAt == NEVER) {
            firstChangeAt = now;
            effects.add(new CrashEffect.Evaluate(SETTLE_MILLIS));
        }
    }

    private void vouch(long now, List<CrashSuspect> suspects) {
        Set<PromptPart> parts = new HashSet<>();
        suspects.stream()
                .flatMap(suspect -> suspect.parts().stream())
                .filter(part -> soundParts.isSoundHere(part, now))
                .forEach(parts::add);
        if (parts.isEmpty()) {
            return;
        }
        reportSound(soundParts.takeWord(vouchDelays.plan(parts, now), now), now);
        requestTickForVouching(now);
    }

    private void requestTickForVouching(long now) {
        long dueAt = vouchDelays.nextDueAtMillis();
        if (dueAt != NEVER) {
            effects.add(new CrashEffect.Evaluate(Math.max(1, dueAt - now)));
        }
    }

    private void reportSound(Set<PromptPart> parts, long now) {
        if (!parts.isEmpty()) {
            effects.add(new CrashEffect.ReportSound(soundParts.ages(parts, now)));
        }
    }

    private void handleAnswered(long now, Fingerprint content, Set<PromptPart> parts) {
        crashes.clear(content);
        soundParts.recordAnswered(parts, now);
        refused.lift(new OfContent(content), true);
        refused.forgetLapses(content, parts);
        Set<PromptPart> cleared = refused.findRefusedParts(parts);
        cleared.addAll(contradicted.take(parts, now));
        if (!cleared.isEmpty()) {
            refused.narrow(cleared, now, true);
            reportSound(cleared, now);
        }
    }

    private void handleAnnounced(long now, CrashSignature signature, long millis) {
        if (millis <= 0) {
            return;
        }
        if (!(signature instanceof OfParts announced)) {
            refused.accept(signature, now, millis);
            return;
        }
        soundParts.dropVouched(announced.parts(), now);
        reportSound(soundParts.takeObjection(announced.parts(), now), now);
        Set<PromptPart> rest = new HashSet<>();
        for (PromptPart part : announced.parts()) {
            if (soundParts.isSound(part, now)) {
                contradicted.add(part, now + Math.min(millis, QUIET_MILLIS));
            } else {
                rest.add(part);
            }
        }
        if (!rest.isEmpty()) {
            refused.accept(new OfParts(rest), now, millis);
        }
    }

    private void handleTick(long now) {
        crashes.expire(now);
        refused.expire(now);
        reportSound(soundParts.takeWord(vouchDelays.takeDue(now), now), now);
        if (firstChangeAt <= now - SETTLE_MILLIS) {
            evaluate(now);
            awaitRest(now);
        }
    }

    /** Asks for one more evaluation if the latest change was too recent for this one. */
    private void awaitRest(long now) {
        boolean complete = lastChangeAt <= now - SETTLE_MILLIS;
        firstChangeAt = complete ? NEVER : lastChangeAt;
        if (!complete) {
            effects.add(new CrashEffect.Evaluate(lastChangeAt + SETTLE_MILLIS - now));
        }
    }

    private void evaluate(long now) {
        List<Crash> all = crashes.all();
        int settled = (int) all.stream().filter(c -> c.atMillis <= now - SETTLE_MILLIS).count();
        List<CrashSignature> relapses = findRelapses(all, now);
        CrashCauses first = new CrashCauses(findEvidence(all, Set.of(), now), settled);
        relapses.forEach(first::presume);
        first.choose();
        markCauses(all, first.chosen());
        CrashCauses causes =
                new CrashCauses(findEvidence(all, findRefuted(all, now), now), settled);
        first.chosen().stream()
                .filter(s -> s instanceof OfParts || relapses.contains(s))
                .forEach(causes::presume);
        causes.choose();
        markCauses(all, causes.chosen());
        causes.chosen().forEach(s -> refused.decide(s, now, isObserved(all, s)));
        liftUnfounded(all, causes.chosen());
    }

    /** Returns the signatures that crashed an endpoint again after they had been refused. */
    private List<CrashSignature> findRelapses(List<Crash> all, long now) {
        return all.stream()
                .flatMap(crash -> refused.findRelapses(crash).stream())
                .distinct()
                .filter(signature -> !hasSoundPart(signature, now))
                .toList();
    }

    private boolean hasSoundPart(CrashSignature signature, long now) {
        return signature instanceof OfParts of
                && of.parts().stream().anyMatch(part -> soundParts.isSound(part, now));
    }

    /**
     * Returns whether requests of this host were suspects of one of the crashes. Only such hosts,
     * which are few, announce a decision: all others that hear the reports decide alike.
     */
    private static boolean isObserved(List<Crash> all, CrashSignature signature) {
        return all.stream().anyMatch(crash -> crash.observedHere && crash.matches(signature));
    }

    private CrashEvidence findEvidence(List<Crash> all, Set<PromptPart> refuted, long now) {
        return new CrashEvidence(
                all,
                (part, crash) ->
                        soundParts.isAnsweredSince(part, crash.atMillis)
                                || !refuted.contains(part)
                                        && soundParts.isRecentlyAnswered(part, now));
    }

    /** Notes which parts explain each crash, found here or announced by another host. */
    private void markCauses(List<Crash> all, List<CrashSignature> causes) {
        List<CrashSignature> known = new ArrayList<>(causes);
        known.addAll(refused.announced());
        for (Crash crash : all) {
            crash.causes =
                    known.stream()
                            .filter(crash::matches)
                            .filter(s -> s instanceof OfParts)
                            .map(s -> (OfParts) s)
                            .toList();
        }
    }

    /** Returns the parts that were answered, but have crashed endpoints too often since. */
    private Set<PromptPart> findRefuted(List<Crash> all, long now) {
        return all.stream()
                .flatMap(crash -> crash.suspects.values().stream())
                .flatMap(Set::stream)
                .distinct()
                .filter(part -> soundParts.isRecentlyAnswered(part, now))
                .filter(part -> !soundParts.isSound(part, now))
                .collect(Collectors.toSet());
    }

    /** Lifts what was refused for crashes that another signature is now known to have caused. */
    private void liftUnfounded(List<Crash> all, List<CrashSignature> causes) {
        for (CrashSignature signature : refused.decidedHere()) {
            List<Crash> evidence = all.stream().filter(c -> c.matches(signature)).toList();
            long open = evidence.stream().filter(crash -> crash.causes.isEmpty()).count();
            boolean founded = open == evidence.size() || open >= MIN_EVIDENCE;
            if (!founded && !isCause(signature, causes, evidence)) {
                refused.lift(signature, false);
            }
        }
    }

    private static boolean isCause(
            CrashSignature signature, List<CrashSignature> causes, List<Crash> evidence) {
        if (signature instanceof OfContent c) {
            return evidence.stream()
                    .map(crash -> crash.suspects.get(c.content()))
                    .anyMatch(
                            parts -> causes.stream().anyMatch(s -> s.matches(c.content(), parts)));
        }
        return causes.stream()
                .anyMatch(
                        s ->
                                RefusedSignatures.covers(s, signature)
                                        || RefusedSignatures.covers(signature, s));
    }

    /** Returns the suspects without what is beyond the bounds of the memory. */
    private static List<CrashSuspect> limit(List<CrashSuspect> suspects) {
        return suspects.stream().limit(Crash.MAX_SUSPECTS).map(CrashAnalysis::limit).toList();
    }

    private static CrashSuspect limit(CrashSuspect suspect) {
        if (suspect.parts().size() <= Crash.MAX_PARTS) {
            return suspect;
        }
        Set<PromptPart> first =
                suspect.parts().stream()
                        .sorted(Comparator.comparing(PromptPart::value))
                        .limit(Crash.MAX_PARTS)
                        .collect(Collectors.toSet());
        return new CrashSuspect(suspect.content(), first);
    }
}
