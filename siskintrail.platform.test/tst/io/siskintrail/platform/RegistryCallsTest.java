package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.EndpointRecord;
import io.siskintrail.internal.traffic.EndpointState;
import io.siskintrail.lib.Result;
import io.siskintrail.net.HttpService;
import io.siskintrail.registry.RegistryCall;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid endpoint reports and configurations are parsed to an error. */
class RegistryCallsTest {
    private static final String VALID_REPORT =
            "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":4,"
                    + "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":4,\"born\":1700,"
                    + "\"unknown\":[1]}";

    private final PlatformRegistryProtocol protocol = new PlatformRegistryProtocol();

    @Test
    void validReportIsParsed() {
        RegistryCall.Report report = (RegistryCall.Report) put("/api/replicas/e1", VALID_REPORT);
        EndpointRecord record = ((Result.Ok<EndpointRecord>) report.endpoint()).value();

        assertThat(record.id().value()).isEqualTo("e1");
        assertThat(record.incarnation()).isEqualTo(1700);
        assertThat(record.sequence()).isEqualTo(4);
        assertThat(record.state()).isEqualTo(EndpointState.READY);
        assertThat(record.domain().value()).isEqualTo("a");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{\"service\":",
                "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":4,"
                        + "\"state\":\"ready\",\"sequence\":4}",
                "{\"service\":\"app\",\"address\":\"10.0.0.1\",\"zone\":\"a\",\"slots\":4,"
                        + "\"state\":\"ready\",\"sequence\":4}",
                "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":4,"
                        + "\"state\":\"resting\",\"sequence\":4}",
                "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":4,"
                        + "\"state\":\"ready\"}",
                "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":\"4\","
                        + "\"state\":\"ready\",\"sequence\":4}",
            })
    void invalidReportNamesNoEndpoint(String body) {
        RegistryCall.Report report = (RegistryCall.Report) put("/api/replicas/e1", body);

        assertThat(report.endpoint()).isInstanceOf(Result.Err.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "{\"version\":3", "{\"version\":\"3\",\"routes\":[]}"})
    void invalidConfigurationIsRefused(String body) {
        RegistryCall.PutConfiguration put =
                (RegistryCall.PutConfiguration) put("/api/config", body);

        assertThat(put.configuration()).isInstanceOf(Result.Err.class);
    }

    /** Guards against a stack overflow: parsing is recursive, and its thread has a small stack. */
    @Test
    void deeplyNestedConfigurationIsRefused() {
        int depth = 100_000;
        String body = "{\"version\":3,\"routes\":" + "[".repeat(depth) + "]".repeat(depth) + "}";
        RegistryCall.PutConfiguration put =
                (RegistryCall.PutConfiguration) put("/api/config", body);

        assertThat(put.configuration()).isInstanceOf(Result.Err.class);
    }

    private RegistryCall put(String path, String body) {
        return protocol.read(
                new HttpService.Call("PUT", path, body.getBytes(StandardCharsets.UTF_8)));
    }
}
