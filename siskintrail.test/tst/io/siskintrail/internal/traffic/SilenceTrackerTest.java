package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.SilenceRule.Verdict;
import org.junit.jupiter.api.Test;

/** Simulates engines that fail silently before or after the first event of a stream. */
class SilenceTrackerTest {
    private static final long TARGET_GAP_MILLIS = 700;
    private static final long SENT_AT = 1_000;
    private static final long FIRST_EVENT_AT = 2_100;
    private static final double EXPECTED_MILLIS = 1_100;

    private final SilenceTracker tracker =
            new SilenceTracker(new SilenceRule(TARGET_GAP_MILLIS), SENT_AT, EXPECTED_MILLIS);

    /** The check after a first event must not be scheduled as late as one that waits for it. */
    @Test
    void engineIsProbedAsSoonAfterFirstEventAsAfterLaterEvents() {
        assertThat(tracker.recordEvent(FIRST_EVENT_AT)).isTrue();
        long firstCheckMillis = tracker.check(FIRST_EVENT_AT, FIRST_EVENT_AT).nextCheckMillis();

        assertThat(tracker.recordEvent(FIRST_EVENT_AT + 1)).isFalse();
        long secondCheckMillis =
                tracker.check(FIRST_EVENT_AT + 1, FIRST_EVENT_AT + 1).nextCheckMillis();

        assertThat(firstCheckMillis).isEqualTo(secondCheckMillis);
        long dueAt = FIRST_EVENT_AT + 1 + secondCheckMillis;
        assertThat(tracker.check(dueAt, FIRST_EVENT_AT + 1).verdict()).isEqualTo(Verdict.PROBE);
    }

    @Test
    void unansweredProbeMarksEngineSilent() {
        tracker.recordEvent(FIRST_EVENT_AT);
        long probedAt =
                FIRST_EVENT_AT + tracker.check(FIRST_EVENT_AT, FIRST_EVENT_AT).nextCheckMillis();
        tracker.recordProbeSent(probedAt);

        SilenceRule.Look afterProbe = tracker.check(probedAt, FIRST_EVENT_AT);
        assertThat(afterProbe.verdict()).isEqualTo(Verdict.WAIT);
        assertThat(tracker.check(probedAt + afterProbe.nextCheckMillis(), FIRST_EVENT_AT).verdict())
                .isEqualTo(Verdict.ENGINE_SILENT);
    }

    @Test
    void answeredProbeExtendsSilenceLimit() {
        tracker.recordEvent(FIRST_EVENT_AT);
        long probedAt =
                FIRST_EVENT_AT + tracker.check(FIRST_EVENT_AT, FIRST_EVENT_AT).nextCheckMillis();
        tracker.recordProbeSent(probedAt);
        long limitMillis = tracker.check(probedAt, FIRST_EVENT_AT).nextCheckMillis();

        tracker.recordProbeAnswer(probedAt + 1);

        SilenceRule.Look look = tracker.check(probedAt + limitMillis, FIRST_EVENT_AT);
        assertThat(look.verdict()).isEqualTo(Verdict.WAIT);
    }

    @Test
    void probeBeforeLastDataOfEngineIsIgnored() {
        tracker.recordEvent(FIRST_EVENT_AT);
        tracker.recordProbeSent(FIRST_EVENT_AT + 10);
        long heardAt = FIRST_EVENT_AT + 20;

        long dueAt = heardAt + tracker.check(heardAt, heardAt).nextCheckMillis();

        assertThat(tracker.check(dueAt, heardAt).verdict()).isEqualTo(Verdict.PROBE);
    }

    @Test
    void engineWithoutFirstEventIsProbedAgainAfterEachAnswer() {
        long probedAt = SENT_AT + tracker.check(SENT_AT, 0).nextCheckMillis();
        assertThat(tracker.check(probedAt, 0).verdict()).isEqualTo(Verdict.PROBE);
        tracker.recordProbeSent(probedAt);
        tracker.recordProbeAnswer(probedAt + 1);

        long nextProbeAt = probedAt + 1 + tracker.check(probedAt + 1, 0).nextCheckMillis();

        assertThat(nextProbeAt).isGreaterThan(probedAt + 1);
        assertThat(tracker.check(nextProbeAt, 0).verdict()).isEqualTo(Verdict.PROBE);
    }
}
