package io.siskintrail.internal.generation;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final Fingerprint POISON = new Fingerprint(1, 1);
    private static final Fingerprint BYSTANDER = new Fingerprint(2, 2);
    private static final Fingerprint OTHER = new Fingerprint(3, 3);

    private final Quarantine quarantine = new Quarantine();
    private final List<QuarantineEffect> effects = new ArrayList<>();
    private long now = 1_000;

    @Test
    void twoDeathsWithNothingElseInCommonQuarantine() {
        die("e1", POISON, BYSTANDER);
        die("e2", POISON, OTHER);
        assertThat(blamed()).containsExactly(POISON);
    }

    @Test
    void bystanderOfBothDeathsIsNotBlamed() {
        die("e1", POISON, BYSTANDER);
        die("e2", POISON, BYSTANDER);
        assertThat(blamed()).isEmpty();
        die("e3", POISON);
        assertThat(blamed()).containsExactly(POISON);
    }

    @Test
    void reportsOfOtherRoutersProtectBystanders() {
        step(new QuarantineInput.Died(new EndpointId("e1"), Set.of(BYSTANDER)));
        report("e1", POISON);
        later(5_000);
        step(new QuarantineInput.Died(new EndpointId("e2"), Set.of(BYSTANDER)));
        report("e2", POISON);
        later(5_000);
        assertThat(blamed()).isEmpty();
    }

    @Test
    void lossOfARackBlamesNobody() {
        step(new QuarantineInput.Died(new EndpointId("e1"), Set.of(BYSTANDER)));
        step(new QuarantineInput.Died(new EndpointId("e2"), Set.of(OTHER)));
        later(2_000);
        step(new QuarantineInput.Died(new EndpointId("e3"), Set.of(BYSTANDER)));
        step(new QuarantineInput.Died(new EndpointId("e4"), Set.of(OTHER)));
        later(2_000);
        assertThat(blamed()).isEmpty();
    }

    @Test
    void quarantineEnds() {
        die("e1", POISON);
        die("e2", POISON);
        later(Quarantine.QUARANTINE_MILLIS);
        assertThat(effects).contains(new QuarantineEffect.Quarantined(POISON, false));
    }

    @Test
    void announcementOfAnotherRouterQuarantinesHere() {
        step(new QuarantineInput.Announced(POISON, 1_000));
        assertThat(blamed()).containsExactly(POISON);
    }

    private void die(String endpoint, Fingerprint... running) {
        step(new QuarantineInput.Died(new EndpointId(endpoint), Set.of(running)));
        later(6_000);
    }

    private void report(String endpoint, Fingerprint... running) {
        step(
                new QuarantineInput.Reported(
                        new HostId("r2"), new EndpointId(endpoint), Set.of(running)));
    }

    private void later(long millis) {
        for (long end = now + millis; now < end; now += 100) {
            step(new QuarantineInput.Tick());
        }
    }

    private void step(QuarantineInput input) {
        effects.addAll(quarantine.step(now, input));
    }

    private List<Fingerprint> blamed() {
        return effects.stream()
                .filter(e -> e instanceof QuarantineEffect.Quarantined q && q.on())
                .map(e -> ((QuarantineEffect.Quarantined) e).fingerprint())
                .toList();
    }
}
