package io.siskintrail.internal.traffic.crash;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Crash analyses of several hosts, up to as many as are planned for. */
class CrashAnalysisManyHostsTest {
    private static final int HOSTS = 390;

    private int lastContent;

    @Test
    void oneCrashMakesFewHostsVouch() {
        List<CrashAnalysis> hosts = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            SplittableRandom random = new SplittableRandom(host);
            CrashAnalysis analysis = new CrashAnalysis(() -> HOSTS, random::nextDouble);
            analysis.step(1_000, new CrashInput.Answered(new Fingerprint(1, host), parts("s")));
            hosts.add(analysis);
        }
        CrashInput report =
                new CrashInput.Reported(
                        new HostId("x"), new EndpointId("e"), List.of(suspect("s", "d")));
        int words = exchangeWords(hosts, 2_000, report);
        for (long now = 2_005; now < 3_000; now += 5) {
            words += exchangeWords(hosts, now, new CrashInput.Tick());
        }
        assertThat(words).isAtLeast(1);
        assertThat(words).isAtMost(10);
    }

    /** Guards against a part that one host knows and nobody vouches for. */
    @Test
    void partThatOneHostOfManySawAnsweredIsVouchedForInTime() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            CrashAnalysis analysis = new CrashAnalysis(() -> HOSTS, random::nextDouble);
            analysis.step(1_000, new CrashInput.Answered(new Fingerprint(1, 1), parts("s")));
            CrashInput report =
                    new CrashInput.Reported(
                            new HostId("x"), new EndpointId("e"), List.of(suspect("s", "d")));
            int words = exchangeWords(List.of(analysis), 2_000, report);
            for (long now = 2_005; now < 2_000 + CrashAnalysis.SETTLE_MILLIS; now += 5) {
                words += exchangeWords(List.of(analysis), now, new CrashInput.Tick());
            }
            assertThat(words).isEqualTo(1);
        }
    }

    /**
     * Lets all hosts handle an input, then the words of each other; returns the number of words.
     */
    private static int exchangeWords(List<CrashAnalysis> hosts, long now, CrashInput input) {
        List<CrashEffect.ReportSound> words = new ArrayList<>();
        for (CrashAnalysis host : hosts) {
            for (CrashEffect effect : host.step(now, input)) {
                if (effect instanceof CrashEffect.ReportSound sound) {
                    words.add(sound);
                }
            }
        }
        for (CrashEffect.ReportSound word : words) {
            hosts.forEach(h -> h.step(now, new CrashInput.ReportedSound(word.ageMillis())));
        }
        return words.size();
    }

    @Test
    void oneDecisionIsAnnouncedByFewHosts() {
        int announced = 0;
        for (int host = 0; host < HOSTS; host++) {
            CrashAnalysis analysis = new CrashAnalysis();
            long now = 1_000;
            for (int crash = 0; crash < 3; crash++, now += 1_000) {
                analysis.step(
                        now,
                        new CrashInput.Reported(
                                new HostId("x"),
                                new EndpointId("e" + crash),
                                List.of(suspect("s", "d"))));
                announced +=
                        analysis.step(now + 200, new CrashInput.Tick()).stream()
                                .filter(e -> e instanceof CrashEffect.Announce)
                                .count();
            }
        }
        assertThat(announced).isAtMost(10);
    }

    @Test
    void refusalOfSoundPartIsLiftedInTheEnd() {
        CrashAnalysis analysis = new CrashAnalysis();
        Set<CrashSignature> refused = new LinkedHashSet<>();
        long now = 1_000;
        apply(
                analysis.step(now, new CrashInput.Answered(new Fingerprint(9, 9), parts("s"))),
                refused);
        // another account sends the part s of this one beside what crashes endpoints, its own last
        // part
        for (int crash = 0; crash < 5; crash++) {
            now += 1_200;
            apply(
                    analysis.step(
                            now,
                            new CrashInput.Crashed(
                                    new EndpointId("e" + crash), List.of(suspect("s")))),
                    refused);
            apply(analysis.step(now + 500, new CrashInput.Tick()), refused);
        }
        assertThat(refused).containsExactly(new OfParts(parts("s")));
        // no more crashes; the sound requests with s that are refused meanwhile change nothing
        long since = now;
        while (!refused.isEmpty() && now - since < 7 * 3_600_000L) {
            now += 10_000;
            apply(analysis.step(now, new CrashInput.Tick()), refused);
        }
        assertThat(now - since).isAtMost(2 * CrashAnalysis.QUIET_MILLIS);
    }

    @Test
    void hostThatMissedTheReportsDoesNotLiftTheRefusalOfOthers() {
        CrashAnalysis stale = new CrashAnalysis();
        stale.step(1_000, new CrashInput.Answered(new Fingerprint(9, 9), parts("d")));
        CrashAnalysis other = new CrashAnalysis();
        Set<CrashSignature> refused = new LinkedHashSet<>();
        long now = 200_000;
        for (int crash = 0; crash < 6; crash++, now += 1_200) {
            apply(
                    other.step(
                            now,
                            new CrashInput.Crashed(
                                    new EndpointId("e" + crash), List.of(suspect("d")))),
                    refused);
            apply(other.step(now + 500, new CrashInput.Tick()), refused);
        }
        assertThat(refused).containsExactly(new OfParts(parts("d")));
        for (CrashEffect effect :
                stale.step(now, new CrashInput.Announced(new OfParts(parts("d")), 600_000))) {
            if (effect instanceof CrashEffect.ReportSound sound) {
                apply(other.step(now, new CrashInput.ReportedSound(sound.ageMillis())), refused);
            }
        }
        assertThat(refused).containsExactly(new OfParts(parts("d")));
    }

    @Test
    void hostThatHearsNoReportsLiftsRefusalsAgainAndAgain() {
        CrashAnalysis stale = new CrashAnalysis();
        stale.step(1_000, new CrashInput.Answered(new Fingerprint(9, 9), parts("d")));
        CrashAnalysis other = new CrashAnalysis();
        Set<CrashSignature> refused = new LinkedHashSet<>();
        int crashes = 0;
        for (long now = 200_000; now < 260_000; now += 50) {
            List<CrashEffect> out = new ArrayList<>();
            if (now % 1_000 == 0 && refused.isEmpty()) {
                crashes++;
                out.addAll(
                        other.step(
                                now,
                                new CrashInput.Crashed(
                                        new EndpointId("e" + crashes), List.of(suspect("d")))));
            }
            out.addAll(other.step(now, new CrashInput.Tick()));
            apply(out, refused);
            for (CrashEffect effect : out) {
                if (effect instanceof CrashEffect.Announce a) {
                    for (CrashEffect answer :
                            stale.step(now, new CrashInput.Announced(a.signature(), a.millis()))) {
                        if (answer instanceof CrashEffect.ReportSound sound) {
                            apply(
                                    other.step(
                                            now, new CrashInput.ReportedSound(sound.ageMillis())),
                                    refused);
                        }
                    }
                }
            }
        }
        assertThat(crashes).isAtMost(5 + 3 + 3);
    }

    @Test
    void refusalEndsAfterSixHoursThoughAnotherHostStartedLater() {
        CrashAnalysis first = new CrashAnalysis();
        CrashAnalysis second = new CrashAnalysis();
        CrashSignature signature = new OfParts(parts("s"));
        boolean ended = false;
        first.step(0, new CrashInput.Announced(signature, 600_000));
        for (long now = 0; now < 24 * 3_600_000L; now += 60_000) {
            if (now == 3 * 3_600_000L) {
                second = new CrashAnalysis();
                second.step(now, new CrashInput.Announced(signature, 600_000));
            }
            List<CrashEffect> ofFirst = new ArrayList<>();
            List<CrashEffect> ofSecond = new ArrayList<>();
            ofFirst.addAll(first.step(now, new CrashInput.Tick()));
            ofSecond.addAll(second.step(now, new CrashInput.Tick()));
            tell(ofFirst, second, now);
            tell(ofSecond, first, now);
            ended |= now > 0 && first.refused(now).isEmpty() && second.refused(now).isEmpty();
        }
        assertThat(ended).isTrue();
    }

    private static void tell(List<CrashEffect> effects, CrashAnalysis other, long now) {
        for (CrashEffect effect : effects) {
            if (effect instanceof CrashEffect.Announce a) {
                var unused = other.step(now, new CrashInput.Announced(a.signature(), a.millis()));
            }
        }
    }

    private static void apply(List<CrashEffect> effects, Set<CrashSignature> refused) {
        for (CrashEffect effect : effects) {
            if (effect instanceof CrashEffect.SignatureRefused change) {
                boolean ignored =
                        change.on()
                                ? refused.add(change.signature())
                                : refused.remove(change.signature());
            }
        }
    }

    private CrashSuspect suspect(String... parts) {
        lastContent++;
        return new CrashSuspect(new Fingerprint(lastContent, lastContent), parts(parts));
    }

    private static Set<PromptPart> parts(String... parts) {
        Set<PromptPart> set = new HashSet<>();
        Stream.of(parts).map(PromptPart::new).forEach(set::add);
        return set;
    }
}
