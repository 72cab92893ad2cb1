package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a registry remembers of the signatures that edges refuse. */
class RefusalMemoryTest {
    private static final CrashSignature PARTS =
            new CrashSignature.OfParts(Set.of(new PromptPart("crash")));

    private final RefusalMemory memory = new RefusalMemory();

    @Test
    void refusalIsToldWithItsRemainingTimeUntilItExpires() {
        memory.record(1_000, new RegistryMessage.Refusal(PARTS, 600));

        assertThat(memory.remaining(1_200))
                .containsExactly(new RegistryMessage.Refusal(PARTS, 400));
        assertThat(memory.remaining(1_600)).isEmpty();
    }

    @Test
    void repeatedRefusalNeverEndsEarlier() {
        memory.record(1_000, new RegistryMessage.Refusal(PARTS, 600));
        memory.record(1_100, new RegistryMessage.Refusal(PARTS, 100));

        assertThat(memory.remaining(1_300))
                .containsExactly(new RegistryMessage.Refusal(PARTS, 300));
    }

    @Test
    void liftedRefusalIsForgotten() {
        memory.record(1_000, new RegistryMessage.Refusal(PARTS, 600));
        memory.record(1_001, new RegistryMessage.Refusal(PARTS, 0));

        assertThat(memory.remaining(1_002)).isEmpty();
    }

    @Test
    void oldestRefusalIsDroppedBeyondTheMaximum() {
        memory.record(0, new RegistryMessage.Refusal(PARTS, 60_000));
        for (int i = 0; i < 1_024; i++) {
            CrashSignature content = new CrashSignature.OfContent(new Fingerprint(1, i));
            memory.record(1, new RegistryMessage.Refusal(content, 60_000));
        }

        assertThat(memory.remaining(2)).hasSize(1_024);
        assertThat(memory.remaining(2).stream().map(RegistryMessage.Refusal::signature))
                .doesNotContain(PARTS);
    }
}
