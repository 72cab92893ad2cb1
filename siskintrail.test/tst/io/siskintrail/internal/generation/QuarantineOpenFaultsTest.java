package io.siskintrail.internal.generation;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.EndpointId;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuarantineOpenFaultsTest {

    /** Two contents that crash endpoints in turn took each other's deaths away as evidence. */
    @Test
    void twoInterleavedCrashingContentsAreBothQuarantined() {
        Quarantine quarantine = new Quarantine();
        Set<Fingerprint> quarantined = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            long now = 1_000 + i * 700L;
            Fingerprint content = new Fingerprint(i % 2, 1);
            EndpointId endpoint = new EndpointId("e" + i);
            quarantine.step(now, new QuarantineInput.Died(endpoint, Set.of(content)));
            for (QuarantineEffect effect : quarantine.step(now + 500, new QuarantineInput.Tick())) {
                if (effect instanceof QuarantineEffect.Quarantined change && change.on()) {
                    quarantined.add(change.fingerprint());
                }
            }
        }
        assertThat(quarantined).containsExactly(new Fingerprint(0, 1), new Fingerprint(1, 1));
    }
}
