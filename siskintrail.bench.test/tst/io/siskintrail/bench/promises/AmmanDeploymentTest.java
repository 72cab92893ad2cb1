package io.siskintrail.bench.promises;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.control.ControlSettings;
import io.siskintrail.fake.FakeSettings;
import io.siskintrail.lib.Result;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.service.SettingsReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AmmanDeploymentTest {
    private static final Path DOCS =
            Path.of(System.getProperty("siskintrail.root"), "docs", "operations");

    @ParameterizedTest
    @ValueSource(strings = {"amman", "reykjanes"})
    void settingsInTheDocsAreValid(String deployment) throws Exception {
        try (Stream<Path> files = Files.list(DOCS.resolve(deployment))) {
            for (Path file : files.toList()) {
                Result<?> result = SettingsReader.read(file, typeOf(file));
                assertThat(result).isInstanceOf(Result.Ok.class);
            }
        }
    }

    @Test
    void shortRunUnderFaultsKeepsAllPromises() throws Exception {
        Path work = Files.createTempDirectory("promises");
        String network = "127." + (2 + ProcessHandle.current().pid() % 90);
        List<String> lines =
                PromisesRun.run(
                        DOCS.resolve("amman"),
                        DOCS.resolve("amman.rules"),
                        work,
                        network,
                        1,
                        false);
        assertThat(lines).hasSize(Promise.values().length);
        assertThat(lines.stream().filter(l -> l.contains("result=breached")).toList()).isEmpty();
    }

    private static Class<?> typeOf(Path file) {
        String name = file.getFileName().toString();
        if (name.startsWith("router")) {
            return RouterSettings.class;
        }
        return name.startsWith("control") ? ControlSettings.class : FakeSettings.class;
    }
}
