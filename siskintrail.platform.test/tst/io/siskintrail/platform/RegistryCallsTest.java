package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.HttpService;
import io.siskintrail.registry.RegistryCall;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid endpoint reports and configurations are parsed to an error. */
class RegistryCallsTest {
    private static final String VALID_REPORT =
            "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":4,"
                    + "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":4,\"born\":1700,"
                    + "\"unknown\":[1]}";

    private static final String ORDER = "{\"service\":\"app\",\"to\":\"v2\",\"durationS\":12}";

    private final PlatformRegistryProtocol protocol =
            new PlatformRegistryProtocol(
                    Clock.fixed(Instant.ofEpochMilli(1_700_000_000_000L), ZoneOffset.UTC));

    @Test
    void validReportIsParsed() {
        RegistryCall.Report report = (RegistryCall.Report) put("/api/replicas/e1", VALID_REPORT);
        EndpointRecord record = ((Result.Ok<EndpointRecord>) report.endpoint()).value();

        assertThat(record.id().value()).isEqualTo("e1");
        assertThat(record.incarnation()).isEqualTo(1700);
        assertThat(record.sequence()).isEqualTo(4);
        assertThat(record.state()).isEqualTo(EndpointState.READY);
        assertThat(record.domain().value()).isEqualTo("a");
        assertThat(record.version()).isEqualTo(EndpointVersion.NONE);
    }

    @ParameterizedTest
    @CsvSource({"'\"v2\"', v2", "'\"\"', ''", "null, ''"})
    void versionIsOptional(String field, String version) {
        String body = VALID_REPORT.replace("}", ",\"version\":" + field + "}");
        RegistryCall.Report report = (RegistryCall.Report) put("/api/replicas/e1", body);

        assertThat(((Result.Ok<EndpointRecord>) report.endpoint()).value().version())
                .isEqualTo(new EndpointVersion(version));
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

    /** Guards against an odd entry among the reports that ended or misled its readers. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'\"10.0.0.1:80\"' | '\"10.0.0.1:0\"'",
                "'\"10.0.0.1:80\"' | '\"10.0.0.1:-1\"'",
                "'\"10.0.0.1:80\"' | '\"10.0.0.1:+80\"'",
                "'\"10.0.0.1:80\"' | '\"10.0.0.1:70000\"'",
                "'\"10.0.0.1:80\"' | '\"10.0.0.1:99999999999\"'",
                "'\"10.0.0.1:80\"' | '\"10.0.0.256:80\"'",
                "'\"10.0.0.1:80\"' | '\"10.1:80\"'",
                "'\"10.0.0.1:80\"' | '\"engine.example:80\"'",
                "'\"10.0.0.1:80\"' | '\"::1:80\"'",
                "'\"10.0.0.1:80\"' | '\"[::1]:70000\"'",
                "'\"10.0.0.1:80\"' | '\"[1::2::3]:80\"'",
                "'\"sequence\":4' | '\"sequence\":1e999999999'",
                "'\"sequence\":4' | '\"sequence\":1180591620717411303424'",
                "'\"sequence\":4' | '\"sequence\":9223372036854775807'",
                "'\"sequence\":4' | '\"sequence\":9223372036854775808.0'",
                "'\"sequence\":4' | '\"sequence\":-1'",
                "'\"born\":1700' | '\"born\":1e999999999'",
                "'\"born\":1700' | '\"born\":1180591620717411303424'",
                "'\"born\":1700' | '\"born\":9223372036854775807'",
                "'\"born\":1700' | '\"born\":1700086401001'",
                "'\"born\":1700' | '\"born\":-1'",
                "'\"slots\":4' | '\"slots\":1e999999999'",
                "'\"slots\":4' | '\"slots\":1180591620717411303424'",
                "'\"slots\":4' | '\"slots\":2147483647'",
                "'\"slots\":4' | '\"slots\":-1'",
                "'\"coldRemainingMs\":0' | '\"coldRemainingMs\":9223372036854775807'",
            })
    void reportWithAnOutOfRangeFieldIsRefused(String field, String odd) {
        String body = VALID_REPORT.replace(field, odd);
        assertThat(body).isNotEqualTo(VALID_REPORT);

        assertThat(((RegistryCall.Report) put("/api/replicas/e1", body)).endpoint())
                .isInstanceOf(Result.Err.class);
    }

    /** Guards against an odd entry among the reports that ended or misled its readers. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "born",
                "sequence",
                "slots",
                "coldRemainingMs",
                "unknown",
                "service",
                "state"
            })
    void reportWithADeeplyNestedOrVeryLongFieldIsRefused(String field) {
        for (String value : List.of("[".repeat(100_000), "9".repeat(100_000))) {
            String body = VALID_REPORT.replaceFirst("}$", ",\"" + field + "\":" + value + "}");

            assertThat(((RegistryCall.Report) put("/api/replicas/e1", body)).endpoint())
                    .isInstanceOf(Result.Err.class);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:65535", "127.0.0.1:1", "[::1]:80", "[fd00::1:2]:8080"})
    void literalAddressIsAccepted(String address) {
        String body = VALID_REPORT.replace("10.0.0.1:80", address);

        assertThat(((RegistryCall.Report) put("/api/replicas/e1", body)).endpoint())
                .isInstanceOf(Result.Ok.class);
    }

    @Test
    void clocksThatDifferByHoursDoNotRefuseAReport() {
        String body = VALID_REPORT.replace("\"born\":1700", "\"born\":1700036000000");

        assertThat(((RegistryCall.Report) put("/api/replicas/e1", body)).endpoint())
                .isInstanceOf(Result.Ok.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a b", "\u00e9", "\u0000", "LONG"})
    void oddIdNamesNoEndpoint(String text) {
        String path = "/api/replicas/" + text.replace("LONG", "x".repeat(100_000));

        assertThat(protocol.read(new HttpService.Call("DELETE", path, new byte[0])))
                .isInstanceOf(RegistryCall.Unknown.class);
        assertThat(((RegistryCall.Report) put(path, VALID_REPORT)).endpoint())
                .isInstanceOf(Result.Err.class);
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

    @ParameterizedTest
    @CsvSource({"12, 12000", "0.5, 500"})
    void rolloutCallsAreParsed(String duration, long millis) {
        RolloutOrder expected =
                new RolloutOrder(new ServiceName("app"), new EndpointVersion("v2"), millis);

        assertThat(call("POST", "/api/rollouts", ORDER.replace("12", duration)))
                .isEqualTo(new RegistryCall.StartRollout(Result.ok(expected)));
        assertThat(call("GET", "/api/rollouts/app", ""))
                .isEqualTo(new RegistryCall.ReadRollout(expected.service()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "12 | 0",
                "12 | -1",
                "12 | 0.0001",
                "12 | 1e999",
                "12 | '\"12\"'",
                "12 | null",
                "'\"v2\"' | '\"\"'",
                "'\"v2\"' | '\"v 2\"'",
                "'\"v2\"' | 2",
                "'\"to\"' | '\"with\"'",
                "'\"app\"' | '\"\"'",
                "'}' | ''",
            })
    void invalidRolloutOrderIsRefused(String field, String odd) {
        var call =
                (RegistryCall.StartRollout)
                        call("POST", "/api/rollouts", ORDER.replace(field, odd));
        Failure failure = ((Result.Err<RolloutOrder>) call.order()).failure();

        assertThat(failure.code()).isEqualTo(ResultCode.ROLLOUT_REFUSED);
        assertThat(failure.detail()).isNotEmpty();
    }

    @ParameterizedTest
    @CsvSource({"GET, /api/rollouts", "GET, /api/rollouts/", "PUT, /api/rollouts/app"})
    void otherRolloutCallsAreUnknown(String method, String path) {
        assertThat(call(method, path, ORDER)).isInstanceOf(RegistryCall.Unknown.class);
    }

    @ParameterizedTest
    @CsvSource({"RUNNING, running", "COMPLETED, completed", "ROLLED_BACK, rolled_back"})
    void rolloutIsDescribed(RolloutRecord.Status status, String state) {
        RolloutOrder order = new RolloutOrder(new ServiceName("app"), new EndpointVersion("v2"), 1);

        assertThat(protocol.describeRollout(new RolloutRecord(order, 1, 0, status)))
                .containsExactly("state", state, "to", "v2");
    }

    private RegistryCall call(String method, String path, String body) {
        return protocol.read(
                new HttpService.Call(method, path, body.getBytes(StandardCharsets.UTF_8)));
    }

    private RegistryCall put(String path, String body) {
        return protocol.read(
                new HttpService.Call("PUT", path, body.getBytes(StandardCharsets.UTF_8)));
    }
}
