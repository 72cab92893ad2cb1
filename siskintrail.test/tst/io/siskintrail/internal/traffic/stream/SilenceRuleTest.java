package io.siskintrail.internal.traffic.stream;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.stream.SilenceRule.ProbeState;
import io.siskintrail.internal.traffic.stream.SilenceRule.Verdict;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates a stream from an engine that is slow, unreachable or hangs. */
class SilenceRuleTest {
    private static final long TARGET_GAP_MILLIS = 700;
    private final SilenceRule rule = new SilenceRule(TARGET_GAP_MILLIS);

    @ParameterizedTest(name = "stream {0} ms, engine {1} ms, probe {2}: {3}")
    @CsvSource({
        "100, 100, NONE, WAIT",
        "190, 190, NONE, WAIT",
        "200, 200, NONE, PROBE",
        "250, 250, SENT, WAIT",
        "350, 350, SENT, ENGINE_SILENT",
        "400, 400, ANSWERED, WAIT",
        "630, 630, ANSWERED, ENGINE_SILENT",
        "1000, 50, NONE, WAIT",
        "1400, 50, NONE, STREAM_SILENT",
    })
    void verdictBetweenEvents(
            long streamSilentMillis,
            long engineSilentMillis,
            ProbeState probeState,
            Verdict expected) {
        assertThat(
                        rule.checkBetweenEvents(streamSilentMillis, engineSilentMillis, probeState)
                                .verdict())
                .isEqualTo(expected);
    }

    @ParameterizedTest(name = "sent {0} ms ago, engine {1} ms, expected {2} ms: {3}")
    @CsvSource({
        "400, 400, 1000, WAIT",
        "600, 600, 1000, PROBE",
        "600, 100, 1000, WAIT",
        "4600, 100, 1000, STREAM_SILENT",
    })
    void verdictBeforeFirstEvent(
            long sinceSentMillis,
            long engineSilentMillis,
            double expectedFirstEventMillis,
            Verdict expected) {
        assertThat(
                        rule.checkBeforeFirstEvent(
                                        sinceSentMillis,
                                        engineSilentMillis,
                                        expectedFirstEventMillis)
                                .verdict())
                .isEqualTo(expected);
    }

    /** The next check is due exactly when the verdict changes, neither later nor earlier. */
    @ParameterizedTest(name = "stream {0} ms, engine {1} ms, probe {2}")
    @CsvSource({
        "0, 0, NONE",
        "150, 20, NONE",
        "1300, 10, NONE",
        "200, 200, SENT",
        "300, 300, ANSWERED",
        "1390, 300, SENT",
    })
    void nextCheckBetweenEventsIsDueWhenVerdictChanges(
            long streamSilentMillis, long engineSilentMillis, ProbeState probeState) {
        SilenceRule.Look now =
                rule.checkBetweenEvents(streamSilentMillis, engineSilentMillis, probeState);
        long dueMillis = now.nextCheckMillis();
        SilenceRule.Look justBefore =
                rule.checkBetweenEvents(
                        streamSilentMillis + dueMillis - 1,
                        engineSilentMillis + dueMillis - 1,
                        probeState);
        SilenceRule.Look whenDue =
                rule.checkBetweenEvents(
                        streamSilentMillis + dueMillis, engineSilentMillis + dueMillis, probeState);
        assertThat(justBefore.verdict()).isEqualTo(now.verdict());
        assertThat(whenDue.verdict()).isNotEqualTo(now.verdict());
    }

    @ParameterizedTest(name = "sent {0} ms ago, engine {1} ms, expected {2} ms")
    @CsvSource({"0, 0, 1000", "700, 100, 1000", "4400, 0, 1000", "1300, 0, 0"})
    void nextCheckBeforeFirstEventIsDueWhenVerdictChanges(
            long sinceSentMillis, long engineSilentMillis, double expectedFirstEventMillis) {
        SilenceRule.Look now =
                rule.checkBeforeFirstEvent(
                        sinceSentMillis, engineSilentMillis, expectedFirstEventMillis);
        long dueMillis = now.nextCheckMillis();
        SilenceRule.Look justBefore =
                rule.checkBeforeFirstEvent(
                        sinceSentMillis + dueMillis - 1,
                        engineSilentMillis + dueMillis - 1,
                        expectedFirstEventMillis);
        SilenceRule.Look whenDue =
                rule.checkBeforeFirstEvent(
                        sinceSentMillis + dueMillis,
                        engineSilentMillis + dueMillis,
                        expectedFirstEventMillis);
        assertThat(justBefore.verdict()).isEqualTo(now.verdict());
        assertThat(whenDue.verdict()).isNotEqualTo(now.verdict());
    }
}
