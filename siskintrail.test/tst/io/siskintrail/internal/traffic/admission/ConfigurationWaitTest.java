package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests that arrive at hosts which have just started and have no configuration yet. */
class ConfigurationWaitTest {

    @ParameterizedTest
    @CsvSource({"25000, 0, 1500", "1500, 0, 500", "0, 0, 0", "-5, 0, 0", "25000, 512, 0"})
    void waitIsBounded(long remainingMillis, int held, long expectedMillis) {
        assertThat(ConfigurationWait.holdMillis(remainingMillis, held)).isEqualTo(expectedMillis);
    }

    /** Load pattern: a request every 10 ms, and a configuration 800 ms after the start. */
    @Test
    void streamsThatArriveBeforeTheConfigurationAreServed() {
        long configurationAt = 800;
        int served = 0;
        int arrivals = 0;
        for (long arrival = 0; arrival < configurationAt; arrival += 10) {
            arrivals++;
            long heldUntil = arrival + ConfigurationWait.holdMillis(25_000, arrivals - 1);
            served += heldUntil >= configurationAt ? 1 : 0;
        }
        assertThat(served).isEqualTo(arrivals);
    }
}
