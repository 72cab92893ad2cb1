package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.registry.RegistrySettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings files are parsed, and an error names the file and the field. */
class SettingsFilesTest {
    private static final String EDGE_SETTINGS =
            """
            {"host": "h", "domain": "d", "ip": "10.0.0.1", "frontAddress": "10.0.0.1:1",
             "readinessAddress": "10.0.0.1:2", "linkPort": 3, "metricsPort": 4,
             "seeds": ["10.0.0.2:5", "10.0.0.3:5"], "graceSeconds": 8, "outOfRotationSeconds": 2.5,
             "retryRatio": 0.8,
             "retryReserve": 150, "retryWindowSeconds": 8.6}
            """;
    private static final String REGISTRY_SETTINGS =
            """
            {"host": "h", "domain": "d", "ip": "10.0.0.1", "callAddress": "10.0.0.1:1",
             "linkPort": 3, "metricsPort": 4, "seeds": [], "founding": true,
             "dataFolder": "/data", "heartbeatMillis": 1200, "toleratedLosses": 2}
            """;

    @TempDir Path folder;

    @Test
    void edgeSettingsAreParsed() throws Exception {
        EdgeSettings read =
                ((Result.Ok<EdgeSettings>) SettingsFiles.readEdge(write(EDGE_SETTINGS))).value();

        assertThat(read)
                .isEqualTo(
                        new EdgeSettings(
                                "h",
                                "d",
                                "10.0.0.1",
                                "10.0.0.1:1",
                                "10.0.0.1:2",
                                3,
                                4,
                                List.of("10.0.0.2:5", "10.0.0.3:5"),
                                8,
                                2.5,
                                0.8,
                                150,
                                8.6));
    }

    @Test
    void registrySettingsAreParsed() throws Exception {
        RegistrySettings read =
                ((Result.Ok<RegistrySettings>) SettingsFiles.readRegistry(write(REGISTRY_SETTINGS)))
                        .value();

        assertThat(read)
                .isEqualTo(
                        new RegistrySettings(
                                "h",
                                "d",
                                "10.0.0.1",
                                "10.0.0.1:1",
                                3,
                                4,
                                List.of(),
                                true,
                                "/data",
                                1200,
                                2));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"linkPort\": 3,          |                          | linkPort",
                "\"linkPort\": 3           | \"linkPort\": \"3\"      | linkPort",
                "\"linkPort\": 3           | \"linkPort\": 99999999999 | linkPort",
                "\"linkPort\": 3           | \"linkPort\": 99999999999999999999 | linkPort",
                "\"host\": \"h\"           | \"host\": null           | host",
                "\"10.0.0.3:5\"            | 5                        | seeds",
                "\"retryRatio\": 0.8       | \"retryRatio\": true     | retryRatio",
                "8.6}                      | 8.6                      | invalid JSON",
                "8.6}                      | 8.6} {}                  | after the JSON object",
            })
    void errorNamesFileAndField(String original, String replacement, String expectedDetail)
            throws Exception {
        Path file =
                write(
                        EDGE_SETTINGS.replace(
                                original.strip(), replacement == null ? "" : replacement.strip()));

        Failure failure = ((Result.Err<EdgeSettings>) SettingsFiles.readEdge(file)).failure();

        assertThat(failure.code()).isEqualTo(ResultCode.SETTINGS_WRONG_TYPE);
        assertThat(failure.detail()).contains(file.toString());
        assertThat(failure.detail()).contains(expectedDetail);
    }

    @ParameterizedTest
    @CsvSource({"1,true", "100000,true", "0,false", "100001,false"})
    void sharedOrderMinHostsIsChecked(long value, boolean isAccepted) throws Exception {
        Path file =
                write(EDGE_SETTINGS.replace("8.6}", "8.6,\"sharedOrderMinHosts\":" + value + '}'));

        if (SettingsFiles.readEdge(file) instanceof Result.Err<EdgeSettings> error) {
            assertThat(isAccepted).isFalse();
            assertThat(error.failure().code()).isEqualTo(ResultCode.SETTINGS_OUT_OF_RANGE);
            assertThat(error.failure().detail()).contains("sharedOrderMinHosts");
        } else {
            assertThat(isAccepted).isTrue();
        }
    }

    @Test
    void missingFileIsUnreadable() {
        Result<EdgeSettings> read = SettingsFiles.readEdge(folder.resolve("none.json"));

        assertThat(((Result.Err<EdgeSettings>) read).failure().code())
                .isEqualTo(ResultCode.SETTINGS_UNREADABLE);
    }

    private Path write(String text) throws Exception {
        return Files.writeString(folder.resolve("settings.json"), text);
    }
}
