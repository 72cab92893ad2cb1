package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.EndpointId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Estimates of the speeds of engines from few and partly wrong measurements. */
class EngineSpeedsTest {
    private static final EndpointId ENGINE = new EndpointId("e1");
    private static final int PROMPT = 8_000;

    private final EngineSpeeds speeds = new EngineSpeeds();

    /** Guards against queued prompts or the steps of other streams making an engine look slow. */
    @ParameterizedTest
    @CsvSource({"0, false, 1080", "8000, false, 2080", "0, true, 1285", "8000, true, 2490"})
    void otherWorkOfEngineDoesNotCount(double ahead, boolean decoding, long elapsedMillis) {
        for (int i = 0; i < 3; i++) {
            speeds.recordFirstEvent(1_000, ENGINE, PROMPT, ahead, decoding, elapsedMillis);
        }

        assertThat(speeds.tokensPerMilli(1_000, ENGINE)).isWithin(0.05).of(8);
    }

    /** Guards against one delayed first event in the few measurements that there are. */
    @ParameterizedTest
    @ValueSource(ints = {2, 4, 8})
    void outlierIsIgnored(int good) {
        for (int i = 0; i < good; i++) {
            measure(1_000, ENGINE, 1_080);
        }
        measure(1_000, ENGINE, 9_000);

        assertThat(speeds.tokensPerMilli(1_000, ENGINE)).isWithin(0.01).of(8);
    }

    @Test
    void unknownEngineStartsFromMedianOfService() {
        for (int e = 0; e < 5; e++) {
            for (int i = 0; i < 3; i++) {
                measure(1_000, new EndpointId("other" + e), e < 2 ? 580 : 2_080);
            }
        }

        assertThat(speeds.tokensPerMilli(1_000, ENGINE)).isWithin(0.01).of(4);
    }

    @ParameterizedTest
    @CsvSource({"29000, 16", "30000, 8"})
    void measurementExpires(long laterMillis, double tokensPerMilli) {
        EngineSpeeds remote = new EngineSpeeds();
        remote.recordReported(5_000, new EngineSpeed(new EndpointId("e2"), 8_000, 0));
        remote.recordReported(5_000, new EngineSpeed(new EndpointId("e3"), 8_000, 0));
        for (int i = 0; i < 3; i++) {
            remote.recordReported(5_000, new EngineSpeed(ENGINE, 16_000, 4_000));
        }

        assertThat(remote.tokensPerMilli(1_000 + laterMillis, ENGINE)).isEqualTo(tokensPerMilli);
    }

    @Test
    void measurementIsReportedOnceWithItsAge() {
        measure(1_000, ENGINE, 1_080);
        speeds.recordReported(1_000, new EngineSpeed(ENGINE, 9_000, 0));

        assertThat(speeds.takeUnreported(1_020))
                .containsExactly(new EngineSpeed(ENGINE, 8_000, 20));
        assertThat(speeds.takeUnreported(1_020)).isEmpty();
    }

    private void measure(long now, EndpointId engine, long elapsedMillis) {
        speeds.recordFirstEvent(now, engine, PROMPT, 0, false, elapsedMillis);
    }
}
