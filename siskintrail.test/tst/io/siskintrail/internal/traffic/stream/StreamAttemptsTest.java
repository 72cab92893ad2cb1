package io.siskintrail.internal.traffic.stream;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.internal.traffic.configuration.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates streams whose engines fail, refuse or fall silent one after another. */
class StreamAttemptsTest {
    private static final int MAX_UNEXECUTED = 12;

    /** Guards against an attempt that is given up although no other one may follow it. */
    @ParameterizedTest(name = "resumable {0}, {1} of {2} run, running {3}: may be given up {4}")
    @CsvSource({
        "true, 0, 5, true, true",
        "true, 3, 5, true, true",
        "true, 4, 5, true, false",
        "true, 4, 5, false, true",
        "true, 0, 1, true, false",
        "true, 0, 1, false, true",
        "false, 0, 5, true, false",
        "false, 0, 5, false, true",
    })
    void attemptIsGivenUpOnlyIfAnotherMayFollow(
            boolean resumable, int executed, int maxAttempts, boolean mayRun, boolean expected) {
        StreamAttempts attempts = new StreamAttempts(route(resumable, maxAttempts));
        for (int i = 0; i < executed; i++) {
            attempts.recordSent();
            attempts.recordLost(true, true, true);
        }
        attempts.recordSent();

        assertThat(attempts.hasLeftAfterGivingUp(mayRun)).isEqualTo(expected);
    }

    @Test
    void refusedAttemptsAreLimitedApartFromThoseThatRan() {
        StreamAttempts attempts = new StreamAttempts(route(true, 2));
        for (int i = 0; i < 2 + MAX_UNEXECUTED; i++) {
            assertThat(attempts.hasLeft()).isTrue();
            attempts.recordSent();
            attempts.recordLost(true, false, false);
        }

        assertThat(attempts.hasLeft()).isFalse();
        assertThat(attempts.mayHaveExecuted()).isFalse();
        assertThat(attempts.isWritten()).isTrue();
    }

    /** Guards against an answer that is given up at a pausing engine and refused by full ones. */
    @Test
    void refusalsDoNotEndAStreamThatWasGivenUp() {
        StreamAttempts attempts = new StreamAttempts(route(true, 2));
        attempts.recordSent();
        attempts.recordGivenUp();
        attempts.recordLost(true, true, true);
        for (int i = 0; i < 10 * MAX_UNEXECUTED; i++) {
            assertThat(attempts.hasLeft()).isTrue();
            attempts.recordSent();
            attempts.recordLost(true, false, false);
        }

        attempts.recordSent();
        attempts.recordLost(true, true, false);

        assertThat(attempts.hasLeft()).isFalse();
    }

    /** The limit of refused attempts holds again for a stream that runs elsewhere. */
    @Test
    void refusalsEndAStreamThatWasLostAfterItHadGoneOn() {
        StreamAttempts attempts = new StreamAttempts(route(true, 5));
        attempts.recordSent();
        attempts.recordGivenUp();
        attempts.recordLost(true, true, true);
        attempts.recordSent();
        assertThat(attempts.hasGivenUp()).isTrue();
        attempts.recordTakenOver();
        attempts.recordLost(true, true, true);
        for (int i = 2; i < 5 + MAX_UNEXECUTED; i++) {
            assertThat(attempts.hasLeft()).isTrue();
            attempts.recordSent();
            attempts.recordLost(true, false, false);
        }

        assertThat(attempts.hasGivenUp()).isFalse();
        assertThat(attempts.hasLeft()).isFalse();
    }

    @ParameterizedTest(name = "{0} attempts without an event: {1} ms")
    @CsvSource({"0, 0", "2, 0", "3, 50", "4, 100", "6, 400", "9, 400"})
    void attemptsWithoutAnEventAreSpreadOut(int eventless, long expectedMillis) {
        StreamAttempts attempts = new StreamAttempts(route(true, 5));
        for (int i = 0; i < eventless; i++) {
            attempts.recordLost(true, false, false);
        }

        assertThat(attempts.backoffMillis()).isEqualTo(expectedMillis);
    }

    private static Route route(boolean resumable, int maxAttempts) {
        return Records.stream(resumable, maxAttempts);
    }
}
