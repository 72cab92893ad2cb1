package io.siskintrail.internal.traffic.crash;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CrashAnalysisOpenFaultsTest {
    private int lastContent;

    @Test
    void crashingPartAmongManyPartsIsRefused() {
        CrashAnalysis analysis = new CrashAnalysis();
        Set<CrashSignature> refused = new LinkedHashSet<>();
        long now = 1_000;
        for (int crash = 0; crash < 6; crash++) {
            List<String> parts = new ArrayList<>(List.of("zz-d"));
            for (int i = 0; i < 40; i++) {
                parts.add("c" + crash + "-" + i);
            }
            List<CrashEffect> out =
                    new ArrayList<>(
                            analysis.step(
                                    now,
                                    new CrashInput.Crashed(
                                            new EndpointId("e" + crash),
                                            List.of(suspect(parts.toArray(String[]::new))))));
            out.addAll(analysis.step(now + 500, new CrashInput.Tick()));
            apply(out, refused);
            now += 1_200;
        }
        assertThat(refused).containsExactly(new OfParts(parts("zz-d")));
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
