package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.SilenceRule.Probe;
import io.siskintrail.internal.traffic.SilenceRule.Verdict;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays what a stream sees of an engine that is slow, dark or hangs. */
class SilenceRuleTest {
    private static final long TARGET_GAP = 700;
    private final SilenceRule rule = new SilenceRule(TARGET_GAP);

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
    void pauseBetweenEvents(long stream, long engine, Probe probe, Verdict expected) {
        assertThat(rule.checkBetweenEvents(stream, engine, probe).verdict()).isEqualTo(expected);
    }

    @ParameterizedTest(name = "sent {0} ms ago, engine {1} ms, expected {2} ms: {3}")
    @CsvSource({
        "400, 400, 1000, WAIT",
        "600, 600, 1000, PROBE",
        "600, 100, 1000, WAIT",
        "4600, 100, 1000, STREAM_SILENT",
    })
    void firstEventIsAwaited(long sent, long engine, double expectedMillis, Verdict expected) {
        assertThat(rule.checkBeforeFirstEvent(sent, engine, expectedMillis).verdict())
                .isEqualTo(expected);
    }

    /** Between two looks nothing may be missed, and a look must not come for nothing. */
    @ParameterizedTest(name = "stream {0} ms, engine {1} ms, probe {2}")
    @CsvSource({
        "0, 0, NONE",
        "150, 20, NONE",
        "1300, 10, NONE",
        "200, 200, SENT",
        "300, 300, ANSWERED",
        "1390, 300, SENT",
    })
    void pauseIsJudgedAnewWhenTheVerdictChanges(long stream, long engine, Probe probe) {
        SilenceRule.Look now = rule.checkBetweenEvents(stream, engine, probe);
        long due = now.nextMillis();
        SilenceRule.Look before =
                rule.checkBetweenEvents(stream + due - 1, engine + due - 1, probe);
        SilenceRule.Look then = rule.checkBetweenEvents(stream + due, engine + due, probe);
        assertThat(before.verdict()).isEqualTo(now.verdict());
        assertThat(then.verdict()).isNotEqualTo(now.verdict());
    }

    @ParameterizedTest(name = "sent {0} ms ago, engine {1} ms, expected {2} ms")
    @CsvSource({"0, 0, 1000", "700, 100, 1000", "4400, 0, 1000", "1300, 0, 0"})
    void firstEventIsJudgedAnewWhenTheVerdictChanges(long sent, long engine, double expected) {
        SilenceRule.Look now = rule.checkBeforeFirstEvent(sent, engine, expected);
        long due = now.nextMillis();
        SilenceRule.Look before =
                rule.checkBeforeFirstEvent(sent + due - 1, engine + due - 1, expected);
        SilenceRule.Look then = rule.checkBeforeFirstEvent(sent + due, engine + due, expected);
        assertThat(before.verdict()).isEqualTo(now.verdict());
        assertThat(then.verdict()).isNotEqualTo(now.verdict());
    }
}
