package io.siskintrail.internal.traffic.crash;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfContent;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CrashAnalysisTest {
    private static final HostId OTHER_HOST = new HostId("h2");
    private static final long CRASH_INTERVAL_MILLIS = 1_200;
    private static final long ANSWER_MILLIS = 10;

    private final CrashAnalysis analysis = new CrashAnalysis();
    private final List<CrashEffect> effects = new ArrayList<>();
    private final Set<CrashSignature> refused = new LinkedHashSet<>();
    private long now = 1_000;
    private int lastContent = 100;
    private int lastEndpoint;

    @Test
    void onlyContentCommonToTwoCrashesIsRefused() {
        crash(suspect(1), suspect(2));
        crash(suspect(1), suspect(3));
        assertThat(refused).containsExactly(content(1));
        assertThat(effects)
                .contains(new CrashEffect.Announce(content(1), CrashAnalysis.QUIET_MILLIS));
    }

    @Test
    void bystanderContentOfBothCrashesIsNotRefused() {
        crash(suspect(1), suspect(2));
        crash(suspect(1), suspect(2));
        assertThat(refused).isEmpty();
        crash(suspect(1));
        assertThat(refused).containsExactly(content(1));
    }

    @Test
    void reportsOfOtherHostsProtectBystanders() {
        for (String endpoint : List.of("e1", "e2")) {
            step(new CrashInput.Crashed(new EndpointId(endpoint), List.of(suspect(2))));
            step(
                    new CrashInput.Reported(
                            OTHER_HOST, new EndpointId(endpoint), List.of(suspect(1))));
            advance(5_000);
        }
        assertThat(refused).isEmpty();
    }

    @Test
    void answeredContentIsNotRefused() {
        crash(suspect(1));
        step(new CrashInput.Answered(suspect(1).content(), Set.of()));
        advance(10_000);
        crash(suspect(1));
        assertThat(refused).isEmpty();
        crash(suspect(1));
        assertThat(refused).containsExactly(content(1));
        step(new CrashInput.Answered(suspect(1).content(), Set.of()));
        assertThat(refused).isEmpty();
    }

    @Test
    void contentOfTwoCrashesIsNotRefusedBesideACrashWithoutIt() {
        crash(suspect(1));
        crash(suspect(2));
        crash(suspect(1));
        assertThat(refused).isEmpty();
        crash(suspect(1));
        assertThat(refused).containsExactly(content(1));
    }

    @Test
    void repeatsOfOneRequestRefuseItsContentAndNotItsParts() {
        crash(suspect(1, "s", "d"));
        crash(suspect(1, "s", "d"), suspect(2, "s"));
        crash(suspect(1, "s", "d"), suspect(3, "s"));
        assertThat(refused).containsExactly(content(1));
    }

    @Test
    void crashingPartWithConstantCompanionIsRefusedWithItUntilTheCompanionIsAnswered() {
        crash(newSuspect("s", "d"));
        crash(newSuspect("s", "d"));
        assertThat(refused).containsExactly(parts("s", "d"));
        assertThat(isRefused("s")).isFalse();
        answer("s");
        assertThat(refused).containsExactly(parts("d"));
        assertThat(effects).contains(soundSince("s", 0));
    }

    @Test
    void furtherCrashWithOtherCompanionNarrowsTheRefusal() {
        crash(newSuspect("s", "d"));
        crash(newSuspect("s", "d"));
        crash(newSuspect("t", "d"));
        assertThat(refused).containsExactly(parts("d"));
    }

    @Test
    void crashingPartWithVaryingCompanionsIsRefused() {
        crash(newSuspect("s", "d"), newSuspect("u"));
        crash(newSuspect("t", "d"), newSuspect("v"));
        assertThat(refused).isEmpty();
        crash(newSuspect("w", "d"), newSuspect("x"));
        assertThat(refused).containsExactly(parts("d"));
    }

    @Test
    void companionThatIsSoundElsewhereIsNotRefused() {
        crash(newSuspect("s", "d"));
        step(new CrashInput.ReportedSound(Map.of(new PromptPart("s"), 0L)));
        crash(newSuspect("s", "d"));
        assertThat(refused).containsExactly(parts("d"));
    }

    @Test
    void soundPartsOfReportedCrashAreToldAtMostOnceASecond() {
        answer("s", "t");
        for (String endpoint : List.of("e1", "e2")) {
            step(
                    new CrashInput.Reported(
                            OTHER_HOST, new EndpointId(endpoint), List.of(newSuspect("s", "d"))));
        }
        assertThat(effects.stream().filter(e -> e instanceof CrashEffect.ReportSound))
                .containsExactly(soundSince("s", ANSWER_MILLIS));
    }

    @Test
    void wordOfHostThatMissedTheCrashesIsNotAccepted() {
        for (int i = 0; i < 4; i++) {
            crash(newSuspect("s" + i, "d"));
        }
        assertThat(refused).containsExactly(parts("d"));
        step(new CrashInput.ReportedSound(Map.of(new PromptPart("d"), 60_000L)));
        assertThat(refused).containsExactly(parts("d"));
        step(new CrashInput.ReportedSound(Map.of(new PromptPart("d"), 0L)));
        assertThat(refused).isEmpty();
    }

    @Test
    void wordOfOtherHostsIsNotPassedOn() {
        step(new CrashInput.ReportedSound(Map.of(new PromptPart("s"), 0L)));
        step(
                new CrashInput.Reported(
                        OTHER_HOST, new EndpointId("e1"), List.of(newSuspect("s", "d"))));
        assertThat(effects.stream().filter(e -> e instanceof CrashEffect.ReportSound)).isEmpty();
    }

    @Test
    void twoInterleavedCrashingPartsAreBothRefused() {
        for (int i = 0; i < 5; i++) {
            answer("s", "t");
            crashAfter(300, newSuspect("s", "d1"), newSuspect("u" + i));
            crashAfter(300, newSuspect("t", "d2"), newSuspect("v" + i));
        }
        advance(500);
        assertThat(refused).containsExactly(parts("d1"), parts("d2"));
    }

    @Test
    void twoCrashingPartsWithTheSameCompanionAreBothRefused() {
        for (int i = 0; i < 5; i++) {
            crashAfter(400, newSuspect("s", "d1"));
            crashAfter(400, newSuspect("s", "d2"));
        }
        advance(500);
        assertThat(isRefused("s", "d1")).isTrue();
        assertThat(isRefused("s", "d2")).isTrue();
    }

    @Test
    void lossOfFailureDomainRefusesNothing() {
        loseFailureDomain();
        advance(5_000);
        assertThat(refused).isEmpty();
    }

    @Test
    void twoLossesOfFailureDomainsRefuseNothing() {
        loseFailureDomain();
        advance(3_000);
        loseFailureDomain();
        advance(5_000);
        assertThat(refused).isEmpty();
    }

    @Test
    void lossesOfFailureDomainsDoNotHideCrashingPart() {
        loseFailureDomain();
        crash(newSuspect("s", "d"));
        crash(newSuspect("s", "d"));
        loseFailureDomain();
        advance(2_000);
        crash(newSuspect("s", "d"));
        assertThat(isRefused("s", "d")).isTrue();
        assertThat(isRefused("common", "half0")).isFalse();
    }

    @Test
    void bystandersOnTheSameCrashedEndpointsAreNotRefused() {
        answer("s");
        CrashSuspect repeated = newSuspect("s", "u");
        crash(newSuspect("s", "d"), repeated);
        crash(newSuspect("s", "d"), newSuspect("s", "u"));
        crash(newSuspect("t", "d"), repeated);
        assertThat(refused).isEmpty();
        crash(newSuspect("s", "d"), newSuspect("s"));
        assertThat(isRefused("s", "u")).isFalse();
        assertThat(isRefused("s")).isFalse();
        assertThat(refused).containsExactly(parts("d"));
    }

    @Test
    void bystanderRefusedForTwoCrashesIsLiftedWhenPartsExplainThem() {
        CrashSuspect bystander = newSuspect();
        answer("s");
        crash(newSuspect("s"), bystander);
        crash(newSuspect("s"), bystander);
        assertThat(refused).containsExactly(new OfContent(bystander.content()));
        advance(10_000);
        crash(newSuspect("s"));
        crash(newSuspect("s"));
        assertThat(refused).containsExactly(parts("s"));
    }

    @Test
    void partThatBecomesCrashingAfterHavingBeenSoundIsRefused() {
        answer("d");
        answer("s");
        for (int i = 0; i < 3; i++) {
            crash(newSuspect("s" + i, "d"));
        }
        assertThat(refused).isEmpty();
        crash(newSuspect("s3", "d"));
        assertThat(refused).containsExactly(parts("d"));
        effects.clear();
        crash(newSuspect("s4", "d"));
        assertThat(effects.stream().filter(e -> e instanceof CrashEffect.ReportSound)).isEmpty();
    }

    @Test
    void answersBetweenCrashesKeepPartSound() {
        for (int i = 0; i < 10; i++) {
            answer("s");
            crash(newSuspect("s"));
        }
        assertThat(refused).isEmpty();
    }

    @Test
    void refusalEndsAfterQuietPeriod() {
        crash(newSuspect("d"));
        crash(newSuspect("d"));
        advance(CrashAnalysis.QUIET_MILLIS - 2 * CRASH_INTERVAL_MILLIS);
        assertThat(refused).containsExactly(parts("d"));
        crash(newSuspect("d"));
        advance(CrashAnalysis.QUIET_MILLIS - CRASH_INTERVAL_MILLIS - 100);
        assertThat(refused).containsExactly(parts("d"));
        advance(600);
        assertThat(refused).isEmpty();
        assertThat(analysis.refused(now)).isEmpty();
    }

    @Test
    void refusalEndsAfterSixHoursOfCrashes() {
        crash(newSuspect("d"));
        crash(newSuspect("d"));
        for (int i = 0; i < 6 * 60 - 1; i++) {
            crashAfter(60_000, newSuspect("d"));
        }
        assertThat(refused).containsExactly(parts("d"));
        crashAfter(60_000, newSuspect("d"));
        assertThat(refused).isEmpty();
    }

    @Test
    void oneCrashAfterTheEndOfRefusalRefusesForTwiceAsLong() {
        crash(newSuspect("d"));
        crash(newSuspect("d"));
        advance(CrashAnalysis.QUIET_MILLIS);
        assertThat(refused).isEmpty();
        crash(newSuspect("d"));
        assertThat(refused).containsExactly(parts("d"));
        advance(2 * CrashAnalysis.QUIET_MILLIS - 2 * CRASH_INTERVAL_MILLIS);
        assertThat(refused).containsExactly(parts("d"));
        advance(2 * CRASH_INTERVAL_MILLIS);
        assertThat(refused).isEmpty();
    }

    @Test
    void answerAfterTheEndOfRefusalIsStrongerThanOneFurtherCrash() {
        crash(newSuspect("d"));
        crash(newSuspect("d"));
        advance(CrashAnalysis.QUIET_MILLIS);
        answer("d");
        crash(newSuspect("d"));
        assertThat(refused).isEmpty();
    }

    @Test
    void hostsWithoutSuspectsOnTheEndpointsDoNotAnnounce() {
        for (String endpoint : List.of("e1", "e2")) {
            step(
                    new CrashInput.Reported(
                            OTHER_HOST, new EndpointId(endpoint), List.of(newSuspect("d"))));
            advance(CRASH_INTERVAL_MILLIS);
        }
        assertThat(refused).containsExactly(parts("d"));
        assertThat(effects.stream().filter(e -> e instanceof CrashEffect.Announce)).isEmpty();
    }

    @Test
    void announcementStartsRefusalAtFreshHost() {
        step(new CrashInput.Announced(parts("d"), 5_000));
        step(new CrashInput.Announced(parts("d"), 2_000));
        assertThat(refused).containsExactly(parts("d"));
        assertThat(analysis.refused(now)).containsExactly(parts("d"), 5_000L);
        assertThat(effects).containsExactly(new CrashEffect.SignatureRefused(parts("d"), true));
        advance(5_100);
        assertThat(refused).isEmpty();
    }

    @Test
    void announcedNarrowerPartsReplaceWiderOnes() {
        step(new CrashInput.Announced(parts("s", "d"), 5_000));
        step(new CrashInput.Announced(parts("d"), 5_000));
        step(new CrashInput.Announced(parts("s", "d"), 9_000));
        assertThat(refused).containsExactly(parts("d"));
    }

    @Test
    void announcementOfSoundPartIsContradicted() {
        answer("s");
        step(new CrashInput.Announced(parts("s", "d"), 5_000));
        step(new CrashInput.Announced(parts("s"), 5_000));
        assertThat(refused).containsExactly(parts("d"));
        assertThat(effects.stream().filter(e -> e instanceof CrashEffect.ReportSound))
                .containsExactly(soundSince("s", ANSWER_MILLIS));
    }

    @Test
    void answerAfterRejectedAnnouncementIsTold() {
        step(new CrashInput.ReportedSound(Map.of(new PromptPart("s"), 0L)));
        step(new CrashInput.Announced(parts("s"), 5_000));
        assertThat(refused).isEmpty();
        answer("s");
        assertThat(effects).containsExactly(soundSince("s", 0));
    }

    @Test
    void answerAnywhereNarrowsAndLiftsRefusal() {
        step(new CrashInput.Announced(parts("s", "d"), 5_000));
        step(new CrashInput.ReportedSound(Map.of(new PromptPart("s"), 0L)));
        assertThat(refused).containsExactly(parts("d"));
        step(new CrashInput.ReportedSound(Map.of(new PromptPart("d"), 0L)));
        assertThat(refused).isEmpty();
    }

    @Test
    void hostThatSawTheAnswerAnnouncesTheNarrowedRefusal() {
        step(new CrashInput.Announced(parts("s", "d"), 5_000));
        answer("s");
        assertThat(refused).containsExactly(parts("d"));
        assertThat(effects).contains(new CrashEffect.Announce(parts("d"), 5_000));
        assertThat(effects).contains(new CrashEffect.Announce(parts("s", "d"), 0));
    }

    @Test
    void lateSuspectsOfOneCrashAreJoined() {
        crash(newSuspect("d"));
        step(new CrashInput.Crashed(new EndpointId("late"), List.of()));
        advance(1_000);
        step(new CrashInput.Reported(OTHER_HOST, new EndpointId("late"), List.of(newSuspect("d"))));
        advance(500);
        assertThat(refused).containsExactly(parts("d"));
    }

    @Test
    void evaluationIsRequestedAfterSettling() {
        step(new CrashInput.Crashed(new EndpointId("e1"), List.of(newSuspect("d"))));
        assertThat(effects).contains(new CrashEffect.Evaluate(CrashAnalysis.SETTLE_MILLIS));
    }

    @Test
    void memoriesAreBounded() {
        CrashMemory crashes = new CrashMemory();
        SoundParts sound = new SoundParts(crashes);
        List<CrashEffect> out = new ArrayList<>();
        RefusedSignatures signatures = new RefusedSignatures(out);
        for (int i = 0; i < 17_000; i++) {
            Crash crash = crashes.add(new EndpointId("e" + i), i);
            crashes.join(crash, List.of(suspect(i, "p" + i)));
            sound.recordAnswered(Set.of(new PromptPart("p" + i)), i);
        }
        for (int i = 0; i < 1_200; i++) {
            signatures.accept(parts("p" + i), i, 5_000);
        }
        assertThat(crashes.all()).hasSize(CrashMemory.MAX_CRASHES);
        assertThat(sound.size()).isEqualTo(SoundParts.MAX_PARTS);
        assertThat(signatures.signatures()).hasSize(RefusedSignatures.MAX_SIGNATURES);
    }

    @Test
    void reportsAreBounded() {
        String[] manyParts =
                Stream.iterate(0, i -> i + 1).limit(100).map(i -> "p" + i).toArray(String[]::new);
        List<CrashSuspect> many = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            many.add(newSuspect(manyParts));
        }
        step(new CrashInput.Crashed(new EndpointId("e1"), many));
        CrashEffect.ReportCrash report =
                (CrashEffect.ReportCrash)
                        effects.stream()
                                .filter(e -> e instanceof CrashEffect.ReportCrash)
                                .findFirst()
                                .orElseThrow();
        assertThat(report.suspects()).hasSize(64);
        assertThat(report.suspects().get(0).parts()).hasSize(32);
    }

    /** Loses 12 endpoints within 300 ms; all hold one part, half of them another, never seen. */
    private void loseFailureDomain() {
        for (int i = 0; i < 12; i++) {
            CrashSuspect[] suspects = {
                newSuspect("common", "half" + i % 2), newSuspect("common", "third" + i % 3)
            };
            crashAfter(25, suspects);
        }
    }

    private void crash(CrashSuspect... suspects) {
        crashAfter(CRASH_INTERVAL_MILLIS, suspects);
    }

    private void crashAfter(long millis, CrashSuspect... suspects) {
        EndpointId endpoint = new EndpointId("x" + ++lastEndpoint);
        step(new CrashInput.Crashed(endpoint, List.of(suspects)));
        advance(millis);
    }

    private void answer(String... parts) {
        step(new CrashInput.Answered(newSuspect().content(), partSet(parts)));
        advance(ANSWER_MILLIS);
    }

    private static CrashEffect soundSince(String part, long ageMillis) {
        return new CrashEffect.ReportSound(Map.of(new PromptPart(part), ageMillis));
    }

    private void advance(long millis) {
        long end = now + millis;
        long interval = millis > 10_000 ? 500 : 25;
        while (now < end) {
            now += Math.min(interval, end - now);
            step(new CrashInput.Tick());
        }
    }

    private void step(CrashInput input) {
        List<CrashEffect> taken = analysis.step(now, input);
        effects.addAll(taken);
        for (CrashEffect effect : taken) {
            if (effect instanceof CrashEffect.SignatureRefused change) {
                boolean changed =
                        change.on()
                                ? refused.add(change.signature())
                                : refused.remove(change.signature());
                assertThat(changed).isTrue();
            }
        }
    }

    private boolean isRefused(String... parts) {
        return refused.stream().anyMatch(s -> s.matches(new Fingerprint(0, 0), partSet(parts)));
    }

    private CrashSuspect newSuspect(String... parts) {
        return suspect(++lastContent, parts);
    }

    private static CrashSuspect suspect(int content, String... parts) {
        return new CrashSuspect(new Fingerprint(content, content), partSet(parts));
    }

    private static CrashSignature content(int content) {
        return new OfContent(new Fingerprint(content, content));
    }

    private static CrashSignature parts(String... parts) {
        return new OfParts(partSet(parts));
    }

    private static Set<PromptPart> partSet(String... parts) {
        Set<PromptPart> set = new HashSet<>();
        Stream.of(parts).map(PromptPart::new).forEach(set::add);
        return set;
    }
}
