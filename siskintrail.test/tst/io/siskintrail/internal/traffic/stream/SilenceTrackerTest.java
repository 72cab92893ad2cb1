package io.siskintrail.internal.traffic.stream;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.stream.SilenceRule.Verdict;
import org.junit.jupiter.api.Test;

/** Simulates engines that fail silently before or after the first event of a stream. */
class SilenceTrackerTest {
    private static final long TARGET_GAP_MILLIS = 700;
    private static final long SENT_AT = 1_000;
    private static final long FIRST_EVENT_AT = 2_100;
    private static final double EXPECTED_FIRST_EVENT_MILLIS = 1_100;

    private final SilenceTracker tracker =
            new SilenceTracker(
                    new SilenceRule(TARGET_GAP_MILLIS), SENT_AT, EXPECTED_FIRST_EVENT_MILLIS);

    /**
     * Guards against a late probe: the delay of the next check must be computed with the limits
     * between events as soon as the first event has arrived.
     */
    @Test
    void probeDelayIsEqualAfterFirstAndSecondEvent() {
        assertThat(tracker.recordEvent(FIRST_EVENT_AT)).isTrue();
        long delayAfterFirstEventMillis =
                tracker.check(FIRST_EVENT_AT, FIRST_EVENT_AT).nextCheckMillis();

        assertThat(tracker.recordEvent(FIRST_EVENT_AT + 1)).isFalse();
        long delayAfterSecondEventMillis =
                tracker.check(FIRST_EVENT_AT + 1, FIRST_EVENT_AT + 1).nextCheckMillis();

        assertThat(delayAfterFirstEventMillis).isEqualTo(delayAfterSecondEventMillis);
        long dueAt = FIRST_EVENT_AT + 1 + delayAfterSecondEventMillis;
        assertThat(tracker.check(dueAt, FIRST_EVENT_AT + 1).verdict()).isEqualTo(Verdict.PROBE);
    }

    @Test
    void unansweredProbeMarksEngineSilent() {
        tracker.recordEvent(FIRST_EVENT_AT);
        long probedAt =
                FIRST_EVENT_AT + tracker.check(FIRST_EVENT_AT, FIRST_EVENT_AT).nextCheckMillis();
        tracker.recordProbeSent(probedAt);

        SilenceRule.Look resultAfterProbe = tracker.check(probedAt, FIRST_EVENT_AT);
        assertThat(resultAfterProbe.verdict()).isEqualTo(Verdict.WAIT);
        assertThat(
                        tracker.check(probedAt + resultAfterProbe.nextCheckMillis(), FIRST_EVENT_AT)
                                .verdict())
                .isEqualTo(Verdict.ENGINE_SILENT);
    }

    @Test
    void answeredProbeExtendsSilenceLimit() {
        tracker.recordEvent(FIRST_EVENT_AT);
        long probedAt =
                FIRST_EVENT_AT + tracker.check(FIRST_EVENT_AT, FIRST_EVENT_AT).nextCheckMillis();
        tracker.recordProbeSent(probedAt);
        long unansweredDelayMillis = tracker.check(probedAt, FIRST_EVENT_AT).nextCheckMillis();

        tracker.recordProbeAnswer(probedAt + 1);

        SilenceRule.Look resultAtLimit =
                tracker.check(probedAt + unansweredDelayMillis, FIRST_EVENT_AT);
        assertThat(resultAtLimit.verdict()).isEqualTo(Verdict.WAIT);
    }

    @Test
    void probeSentBeforeLastActivityIsIgnored() {
        tracker.recordEvent(FIRST_EVENT_AT);
        tracker.recordProbeSent(FIRST_EVENT_AT + 10);
        long lastActivityAt = FIRST_EVENT_AT + 20;

        long dueAt =
                lastActivityAt + tracker.check(lastActivityAt, lastActivityAt).nextCheckMillis();

        assertThat(tracker.check(dueAt, lastActivityAt).verdict()).isEqualTo(Verdict.PROBE);
    }

    /** Guards against a prompt that is prefilled twice since work ahead of it was not yet known. */
    @Test
    void prefillThatOtherHostsReportLaterExtendsLimitForFirstEvent() {
        long limitAt = SENT_AT + 4_800;
        tracker.recordProbeAnswer(limitAt);
        assertThat(tracker.check(limitAt, limitAt).verdict()).isEqualTo(Verdict.STREAM_SILENT);

        tracker.recordUnforeseenPrefill(500);
        tracker.recordUnforeseenPrefill(-100);

        assertThat(tracker.check(limitAt + 1_499, limitAt + 1_499).verdict())
                .isEqualTo(Verdict.WAIT);
        assertThat(tracker.check(limitAt + 1_500, limitAt + 1_500).verdict())
                .isEqualTo(Verdict.STREAM_SILENT);
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

    /** Guards against a stream that is given up because its client does not read. */
    @Test
    void silenceCountsOnlyWhileTheEngineIsReadFrom() {
        tracker.recordEvent(FIRST_EVENT_AT);
        tracker.setReading(FIRST_EVENT_AT, false);
        long resumedAt = FIRST_EVENT_AT + 20 * TARGET_GAP_MILLIS;
        assertThat(tracker.check(resumedAt, FIRST_EVENT_AT).verdict()).isEqualTo(Verdict.WAIT);

        tracker.setReading(resumedAt, true);

        SilenceRule.Look whenResumed = tracker.check(resumedAt, FIRST_EVENT_AT);
        assertThat(whenResumed.verdict()).isEqualTo(Verdict.WAIT);
        long dueAt = resumedAt + whenResumed.nextCheckMillis();
        assertThat(tracker.check(dueAt, FIRST_EVENT_AT).verdict()).isEqualTo(Verdict.PROBE);
    }
}
