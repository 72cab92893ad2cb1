package io.siskintrail.internal.generation;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final Fingerprint CRASHING_REQUEST = new Fingerprint(1, 1);
    private static final Fingerprint BYSTANDER = new Fingerprint(2, 2);
    private static final Fingerprint OTHER = new Fingerprint(3, 3);

    private final Quarantine quarantine = new Quarantine();
    private final List<QuarantineEffect> effects = new ArrayList<>();
    private long now = 1_000;

    @Test
    void onlyRequestCommonToTwoDeathsIsQuarantined() {
        reportLocalDeath("e1", CRASHING_REQUEST, BYSTANDER);
        reportLocalDeath("e2", CRASHING_REQUEST, OTHER);
        assertThat(quarantinedFingerprints()).containsExactly(CRASHING_REQUEST);
    }

    @Test
    void bystanderOfBothDeathsIsNotQuarantined() {
        reportLocalDeath("e1", CRASHING_REQUEST, BYSTANDER);
        reportLocalDeath("e2", CRASHING_REQUEST, BYSTANDER);
        assertThat(quarantinedFingerprints()).isEmpty();
        reportLocalDeath("e3", CRASHING_REQUEST);
        assertThat(quarantinedFingerprints()).containsExactly(CRASHING_REQUEST);
    }

    @Test
    void reportsOfOtherRoutersProtectBystanders() {
        step(new QuarantineInput.Died(new EndpointId("e1"), Set.of(BYSTANDER)));
        receiveReport("e1", CRASHING_REQUEST);
        advance(5_000);
        step(new QuarantineInput.Died(new EndpointId("e2"), Set.of(BYSTANDER)));
        receiveReport("e2", CRASHING_REQUEST);
        advance(5_000);
        assertThat(quarantinedFingerprints()).isEmpty();
    }

    @Test
    void lossOfRackQuarantinesNothing() {
        step(new QuarantineInput.Died(new EndpointId("e1"), Set.of(BYSTANDER)));
        step(new QuarantineInput.Died(new EndpointId("e2"), Set.of(OTHER)));
        advance(2_000);
        step(new QuarantineInput.Died(new EndpointId("e3"), Set.of(BYSTANDER)));
        step(new QuarantineInput.Died(new EndpointId("e4"), Set.of(OTHER)));
        advance(2_000);
        assertThat(quarantinedFingerprints()).isEmpty();
    }

    /** Two contents that crash endpoints in turn took each other's deaths away as evidence. */
    @Test
    void twoInterleavedCrashingContentsAreBothQuarantined() {
        for (int i = 0; i < 20; i++) {
            Fingerprint content = i % 2 == 0 ? CRASHING_REQUEST : OTHER;
            step(new QuarantineInput.Died(new EndpointId("e" + i), Set.of(content)));
            advance(700);
        }
        assertThat(quarantinedFingerprints()).containsExactly(CRASHING_REQUEST, OTHER);
    }

    @Test
    void quarantineEnds() {
        reportLocalDeath("e1", CRASHING_REQUEST);
        reportLocalDeath("e2", CRASHING_REQUEST);
        advance(Quarantine.QUARANTINE_MILLIS);
        assertThat(effects).contains(new QuarantineEffect.Quarantined(CRASHING_REQUEST, false));
    }

    @Test
    void announcementOfOtherRouterStartsQuarantine() {
        step(new QuarantineInput.Announced(CRASHING_REQUEST, 1_000));
        assertThat(quarantinedFingerprints()).containsExactly(CRASHING_REQUEST);
    }

    private void reportLocalDeath(String endpoint, Fingerprint... running) {
        step(new QuarantineInput.Died(new EndpointId(endpoint), Set.of(running)));
        advance(6_000);
    }

    private void receiveReport(String endpoint, Fingerprint... running) {
        step(
                new QuarantineInput.Reported(
                        new HostId("r2"), new EndpointId(endpoint), Set.of(running)));
    }

    private void advance(long millis) {
        for (long end = now + millis; now < end; now += 100) {
            step(new QuarantineInput.Tick());
        }
    }

    private void step(QuarantineInput input) {
        effects.addAll(quarantine.step(now, input));
    }

    private List<Fingerprint> quarantinedFingerprints() {
        return effects.stream()
                .filter(e -> e instanceof QuarantineEffect.Quarantined q && q.on())
                .map(e -> ((QuarantineEffect.Quarantined) e).fingerprint())
                .toList();
    }
}
