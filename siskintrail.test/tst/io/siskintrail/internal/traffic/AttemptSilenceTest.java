package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.SilenceRule.Verdict;
import org.junit.jupiter.api.Test;

/** Simulates engines that fail silently before or after the first event of a stream. */
class AttemptSilenceTest {
    private static final long TARGET_GAP_MILLIS = 700;
    private static final long SENT_AT = 1_000;
    private static final long FIRST_EVENT_AT = 2_100;
    private static final double EXPECTED_MILLIS = 1_100;

    private final AttemptSilence silence =
            new AttemptSilence(new SilenceRule(TARGET_GAP_MILLIS), SENT_AT, EXPECTED_MILLIS);

    /** The check after a first event must not be scheduled as late as one that waits for it. */
    @Test
    void engineIsProbedAsSoonAfterFirstEventAsAfterLaterEvents() {
        assertThat(silence.event(FIRST_EVENT_AT)).isTrue();
        long firstCheckMillis = silence.look(FIRST_EVENT_AT, FIRST_EVENT_AT).nextMillis();

        assertThat(silence.event(FIRST_EVENT_AT + 1)).isFalse();
        long secondCheckMillis = silence.look(FIRST_EVENT_AT + 1, FIRST_EVENT_AT + 1).nextMillis();

        assertThat(firstCheckMillis).isEqualTo(secondCheckMillis);
        long dueAt = FIRST_EVENT_AT + 1 + secondCheckMillis;
        assertThat(silence.look(dueAt, FIRST_EVENT_AT + 1).verdict()).isEqualTo(Verdict.PROBE);
    }

    @Test
    void unansweredProbeMarksEngineSilent() {
        silence.event(FIRST_EVENT_AT);
        long probedAt = FIRST_EVENT_AT + silence.look(FIRST_EVENT_AT, FIRST_EVENT_AT).nextMillis();
        silence.dialed(probedAt);

        SilenceRule.Look afterProbe = silence.look(probedAt, FIRST_EVENT_AT);
        assertThat(afterProbe.verdict()).isEqualTo(Verdict.WAIT);
        assertThat(silence.look(probedAt + afterProbe.nextMillis(), FIRST_EVENT_AT).verdict())
                .isEqualTo(Verdict.ENGINE_SILENT);
    }

    @Test
    void answeredProbeExtendsSilenceLimit() {
        silence.event(FIRST_EVENT_AT);
        long probedAt = FIRST_EVENT_AT + silence.look(FIRST_EVENT_AT, FIRST_EVENT_AT).nextMillis();
        silence.dialed(probedAt);
        long limitMillis = silence.look(probedAt, FIRST_EVENT_AT).nextMillis();

        silence.reached(probedAt + 1);

        SilenceRule.Look look = silence.look(probedAt + limitMillis, FIRST_EVENT_AT);
        assertThat(look.verdict()).isEqualTo(Verdict.WAIT);
    }

    @Test
    void probeBeforeLastDataOfEngineIsIgnored() {
        silence.event(FIRST_EVENT_AT);
        silence.dialed(FIRST_EVENT_AT + 10);
        long heardAt = FIRST_EVENT_AT + 20;

        long dueAt = heardAt + silence.look(heardAt, heardAt).nextMillis();

        assertThat(silence.look(dueAt, heardAt).verdict()).isEqualTo(Verdict.PROBE);
    }

    @Test
    void engineWithoutFirstEventIsProbedAgainAfterEachAnswer() {
        long probedAt = SENT_AT + silence.look(SENT_AT, 0).nextMillis();
        assertThat(silence.look(probedAt, 0).verdict()).isEqualTo(Verdict.PROBE);
        silence.dialed(probedAt);
        silence.reached(probedAt + 1);

        long nextProbeAt = probedAt + 1 + silence.look(probedAt + 1, 0).nextMillis();

        assertThat(nextProbeAt).isGreaterThan(probedAt + 1);
        assertThat(silence.look(nextProbeAt, 0).verdict()).isEqualTo(Verdict.PROBE);
    }
}
