package io.siskintrail.net;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeriodicTaskTest {
    private static final long PERIOD_MILLIS = 5;
    private static final long WAIT_SECONDS = 10;

    static Stream<Throwable> faults() {
        return Stream.of(
                new IllegalStateException("a defect"), new OutOfMemoryError("Java heap space"));
    }

    /** Guards against a periodic task that is never run again and nobody hears of it. */
    @ParameterizedTest
    @MethodSource("faults")
    void taskIsRunAgainAfterAFault(Throwable fault) throws InterruptedException {
        EventLoop loop = new EventLoop("test");
        CountDownLatch runs = new CountDownLatch(3);
        loop.every(
                PERIOD_MILLIS,
                () -> {
                    runs.countDown();
                    if (fault instanceof Error e) {
                        throw e;
                    }
                    throw (RuntimeException) fault;
                });
        assertThat(runs.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        loop.stop();
    }
}
