package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates a host that drains while clients still arrive: it can complete what it accepts. */
class StopPlanTest {
    private static final long END_MILLIS = 20_000;
    private final StopPlan plan = new StopPlan();

    @Test
    void allRequestsAreAcceptedBeforeDraining() {
        assertThat(plan.accepts(0, Records.route(RouteKind.STREAM, 400))).isTrue();
        assertThat(plan.accepts(0, Records.route(RouteKind.AT_MOST_ONCE, 400))).isTrue();
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

        plan.startDraining(0, END_MILLIS);

        assertThat(plan.accepts(END_MILLIS - leftMillis, Records.route(kind, 400)))
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

        assertThat(plan.accepts(0, Records.route(RouteKind.IDEMPOTENT, 400))).isFalse();
    }
}
