package io.siskintrail.internal.traffic.crash;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CrashAnalysisGrowthTest {
    private static final int BURST_MILLIS = 1_000;
    private static final int ENDPOINTS = 100;

    private final CrashAnalysis analysis = new CrashAnalysis();
    private final PriorityQueue<Long> ticks = new PriorityQueue<>();
    private int evaluations;

    /** Each report of a burst made every host evaluate all crashes once more. */
    @Test
    void reportsOfOneBurstAskForFewEvaluations() {
        for (int ms = 0; ms < BURST_MILLIS; ms++) {
            step(ms, report(ms));
            while (!ticks.isEmpty() && ticks.peek() <= ms) {
                ticks.poll();
                step(ms, new CrashInput.Tick());
            }
        }
        assertThat(evaluations).isAtMost((int) (BURST_MILLIS / CrashAnalysis.SETTLE_MILLIS) + 2);
    }

    /** All endpoints die within 300 ms; further hosts report each of them until the burst ends. */
    private static CrashInput report(int ms) {
        int endpoint = ms < 300 ? ms / 3 : ms % ENDPOINTS;
        List<CrashSuspect> suspects = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            suspects.add(
                    new CrashSuspect(
                            new Fingerprint(ms, i),
                            Set.of(new PromptPart("s" + ms % 50), new PromptPart("t" + i))));
        }
        return new CrashInput.Reported(
                new HostId("h" + ms), new EndpointId("e" + endpoint), suspects);
    }

    private void step(long nowMillis, CrashInput input) {
        for (CrashEffect effect : analysis.step(nowMillis, input)) {
            if (effect instanceof CrashEffect.Evaluate evaluate) {
                evaluations++;
                ticks.add(nowMillis + evaluate.delayMillis());
            }
        }
    }
}
