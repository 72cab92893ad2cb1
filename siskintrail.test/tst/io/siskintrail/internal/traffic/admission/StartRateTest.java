package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StartRateTest {
    private final StartRate rate = new StartRate();

    /** Guards against refusals by a host that has just started. */
    @Test
    void unknownRateForecastsNoWait() {
        assertThat(rate.expectedWaitMillis(0, 50)).isEqualTo(0.0);
        rate.record(0, 1, 0);
        assertThat(rate.expectedWaitMillis(500, 50)).isEqualTo(0.0);
    }

    @Test
    void forecastFollowsStartsOfAllHosts() {
        for (int i = 0; i < 200; i++) {
            rate.record(20L * i, 1, 1);
        }

        assertThat(rate.expectedWaitMillis(4_000, 49)).isWithin(150).of(1_000);
    }

    /** Guards against refusals while a lost failure domain stops the starts for a moment. */
    @Test
    void shortPauseChangesForecastLittle() {
        for (int i = 0; i < 500; i++) {
            rate.record(20L * i, 1, 1);
        }

        assertThat(rate.expectedWaitMillis(11_200, 49)).isLessThan(1_600.0);
    }
}
