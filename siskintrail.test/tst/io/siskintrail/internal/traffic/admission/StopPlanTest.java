package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.internal.traffic.configuration.Route;
import io.siskintrail.internal.traffic.configuration.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates a host that drains while clients still arrive: it can complete what it accepts. */
class StopPlanTest {
    private static final long END_MILLIS = 20_000;

    /** Deadline of a client that waits for any time. */
    private static final long NEVER = Long.MAX_VALUE;

    private final StopPlan plan = new StopPlan();

    @Test
    void allRequestsAreAcceptedBeforeDraining() {
        assertThat(accepts(0, Records.route(RouteKind.STREAM, 400), NEVER)).isTrue();
        assertThat(accepts(0, Records.route(RouteKind.AT_MOST_ONCE, 400), NEVER)).isTrue();
        assertThat(accepts(0, Records.stream(false, 5), NEVER)).isTrue();
    }

    @ParameterizedTest(name = "streams of {0} ms, {1} ms before the end, {2}: accepted {3}")
    @CsvSource({
        "4000, 7600, STREAM, true",
        "4000, 5000, STREAM, false",
        "8000, 7600, STREAM, false",
        "1000, 2000, STREAM, true",
        "8000, 1000, AT_MOST_ONCE, true",
        "8000, 500, AT_MOST_ONCE, false",
        "8000, 1000, IDEMPOTENT, true",
    })
    void requestsThatCannotCompleteAreRejected(
            long streamMillis, long leftMillis, RouteKind kind, boolean accepted) {
        for (int i = 0; i < 100; i++) {
            plan.recordStreamDuration(streamMillis);
        }

        plan.startDraining(END_MILLIS, END_MILLIS);

        assertThat(accepts(END_MILLIS - leftMillis, Records.route(kind, 400), NEVER))
                .isEqualTo(accepted);
    }

    /** Guards against late requests that are passed on and cut at the end of the grace period. */
    @ParameterizedTest(name = "{0} ms after leaving rotation, deadline {1} ms after the end: {2}")
    @CsvSource({
        "-1, 1, true",
        "0, 1, false",
        "0, 0, true",
        "3000, 20000, false",
        "3000, -500, true",
    })
    void lateRequestsAreAcceptedOnlyIfTheirDeadlineComesInTime(
            long sinceOutOfRotation, long deadlineAfterEnd, boolean accepted) {
        long outOfRotationAt = END_MILLIS - 5_000;

        plan.startDraining(outOfRotationAt, END_MILLIS);

        long now = outOfRotationAt + sinceOutOfRotation;
        long deadlineAt = END_MILLIS + deadlineAfterEnd;
        assertThat(accepts(now, Records.route(RouteKind.AT_MOST_ONCE, 400), deadlineAt))
                .isEqualTo(accepted);
    }

    /** Guards against streams that are cut at the end and cannot go on at another host. */
    @ParameterizedTest(name = "resumable {0}, deadline {1} ms after the end: {2}")
    @CsvSource({"true, 1, true", "false, 1, false", "false, 0, true"})
    void streamsThatCannotGoOnElsewhereAreAcceptedOnlyIfTheirDeadlineComesInTime(
            boolean resumable, long deadlineAfterEnd, boolean accepted) {
        plan.startDraining(END_MILLIS, END_MILLIS);

        long deadlineAt = END_MILLIS + deadlineAfterEnd;
        assertThat(accepts(END_MILLIS - 10_000, Records.stream(resumable, 5), deadlineAt))
                .isEqualTo(accepted);
    }

    /** The load balancer checks readiness once a second and needs two failed checks. */
    @ParameterizedTest(name = "{0} ms after the request to stop, {1} running: may terminate {2}")
    @CsvSource({
        "0, 0, false",
        "2499, 0, false",
        "2500, 0, true",
        "2500, 1, false",
        "7599, 1, false",
        "7600, 1, true",
    })
    void idleHostTerminatesAfterLeavingRotation(
            long sinceStopMillis, int running, boolean mayTerminate) {
        plan.startDraining(END_MILLIS + 2_500, END_MILLIS + 7_600);

        assertThat(plan.mayTerminate(END_MILLIS + sinceStopMillis, running))
                .isEqualTo(mayTerminate);
    }

    @Test
    void graceEndOverridesRotationTime() {
        plan.startDraining(END_MILLIS + 2_500, END_MILLIS + 600);

        assertThat(plan.mayTerminate(END_MILLIS + 600, 0)).isTrue();
    }

    /** A request between the decision to terminate and the process exit would be cut off. */
    @Test
    void terminatingHostRejectsRequests() {
        plan.startDraining(0, END_MILLIS);

        plan.markTerminating();

        assertThat(accepts(0, Records.route(RouteKind.IDEMPOTENT, 400), 1)).isFalse();
    }

    private boolean accepts(long nowMillis, Route route, long deadlineAtMillis) {
        return plan.accepts(nowMillis, route, deadlineAtMillis);
    }
}
