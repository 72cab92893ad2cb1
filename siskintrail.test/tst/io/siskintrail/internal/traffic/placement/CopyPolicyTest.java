package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against copies that take the memory that streams without an engine need. */
class CopyPolicyTest {
    private final CopyPolicy policy = new CopyPolicy();

    @ParameterizedTest
    @CsvSource({
        "false, false, 700, true",
        "true, false, 700, false",
        "true, true, 700, true",
        "true, false, 2000, true"
    })
    void onlyStreamsThatGainMostGetCopyWhileMemoryIsShort(
            boolean isShort, boolean isUrgent, int outputLeft, boolean expected) {
        for (int i = 0; i < 40; i++) {
            policy.wantsCopy(isShort, false, 700);
        }

        assertThat(policy.wantsCopy(isShort, isUrgent, outputLeft)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"75000, false", "78000, true"})
    void memoryIsShortIfMostIsUsed(long used, boolean expected) {
        EndpointView engine = new EndpointView(Records.engine("e1", "a"));
        engine.beginCopy(used);
        EngineSpec spec = new EngineSpec(16, 100_000, 6, true, 4_000);

        assertThat(CopyPolicy.isMemoryShort(1_000, List.of(engine), spec)).isEqualTo(expected);
    }
}
