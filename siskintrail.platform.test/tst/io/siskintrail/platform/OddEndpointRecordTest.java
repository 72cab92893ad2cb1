package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Odd records that a registry passes on, though it should have refused their report. */
class OddEndpointRecordTest {

    /** Guards against one odd record that hides the others of its message. */
    @ParameterizedTest
    @CsvSource({
        "10.0.0.1:70000, 4",
        "10.0.0.1:0, 4",
        "engine.example:80, 4",
        "10.0.0.1, 4",
        "10.0.0.1:80, -1"
    })
    void oddRecordIsSkippedAndTheOthersHold(String address, int slots) {
        EndpointRecord sound = record("sound", "10.0.0.2:80", 4);
        byte[] message =
                RegistryCodec.encode(
                        new RegistryMessage.Endpoints(
                                List.of(record("odd", address, slots), sound)));

        assertThat(((RegistryMessage.Endpoints) RegistryCodec.decode(message)).records())
                .containsExactly(sound);
    }

    private static EndpointRecord record(String id, String address, int slots) {
        return new EndpointRecord(
                new EndpointId(id),
                1,
                1,
                new ServiceName("s"),
                address,
                new FailureDomain("d"),
                slots,
                0,
                EndpointState.READY);
    }
}
