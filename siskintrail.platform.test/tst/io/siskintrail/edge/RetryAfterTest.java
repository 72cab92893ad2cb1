package io.siskintrail.edge;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Values of Retry-After headers, also those that nobody should send. */
class RetryAfterTest {
    /** 1994-11-06 08:49:37 UTC, in milliseconds. */
    private static final long NOW = 784_111_777_000L;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "0|0",
                "3|3000",
                "0.25|250",
                " 2 |2000",
                "0.0001|1",
                "Sun, 06 Nov 1994 08:49:47 GMT|10000",
                "Sun, 06 Nov 1994 08:49:27 GMT|0",
                "Sun, 06 Nov 2094 08:49:37 GMT|600000",
                "-1|1000",
                "soon|1000",
                "''|1000",
                "NaN|1000",
                "1e300|600000",
                "Infinity|600000"
            })
    void valueIsBounded(String value, long expectedMillis) {
        assertThat(RetryAfter.parseMillis(value, NOW)).isEqualTo(expectedMillis);
    }
}
