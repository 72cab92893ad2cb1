package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RelayIntervalTest {
    private static final double MILLIS_PER_SECOND = 1_000;

    @ParameterizedTest(name = "{0} hosts: {1} ms")
    @CsvSource({"0, 25", "7, 25", "72, 72", "240, 240", "1000, 250"})
    void batchIntervalGrowsWithNumberOfHosts(int hosts, long expectedMillis) {
        assertThat(RelayInterval.batchMillis(hosts)).isEqualTo(expectedMillis);
    }

    /** If all hosts report all the time, the rate of relayed messages stays as on small systems. */
    @ParameterizedTest(name = "{0} hosts")
    @CsvSource({"7", "30", "72", "100", "200"})
    void messageRateDoesNotGrowWithSquareOfHosts(int hosts) {
        double messagesPerSecond = hosts * MILLIS_PER_SECOND / RelayInterval.batchMillis(hosts);
        assertThat(messagesPerSecond).isAtMost(1_000);
    }
}
