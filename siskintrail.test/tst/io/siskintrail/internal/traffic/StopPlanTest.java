package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays a host that stops while clients still come: what it takes, it can finish. */
class StopPlanTest {
    private static final long END = 20_000;
    private final StopPlan plan = new StopPlan();

    @Test
    void everythingIsTakenUntilTheHostStops() {
        assertThat(plan.takes(0, Records.route(RouteKind.STREAM, 400))).isTrue();
        assertThat(plan.takes(0, Records.route(RouteKind.AT_MOST_ONCE, 400))).isTrue();
    }

    @ParameterizedTest(name = "streams of {0} ms, {1} ms before the end, {2}: taken {3}")
    @CsvSource({
        "4000, 7600, STREAM, true",
        "4000, 5000, STREAM, false",
        "8000, 7600, STREAM, false",
        "1000, 2000, STREAM, true",
        "8000, 1000, AT_MOST_ONCE, true",
        "8000, 500, AT_MOST_ONCE, false",
        "8000, 1000, IDEMPOTENT, true",
    })
    void onlyWhatCanEndIsTaken(long lasts, long left, RouteKind kind, boolean taken) {
        for (int i = 0; i < 100; i++) {
            plan.streamLasted(lasts);
        }

        plan.stopsAt(END);

        assertThat(plan.takes(END - left, Records.route(kind, 400))).isEqualTo(taken);
    }
}
