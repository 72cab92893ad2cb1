package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.Result;
import io.siskintrail.service.SettingsReader;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RouterSettingsTest {

    @ParameterizedTest
    @ValueSource(strings = {"amman", "reykjanes"})
    void exampleSettingsNameTheirOperators(String deployment) {
        Path file =
                Path.of(
                        System.getProperty("siskintrail.root"),
                        "docs",
                        "operations",
                        deployment,
                        "router-1.json");
        Result<RouterSettings> settings = SettingsReader.read(file, RouterSettings.class);
        assertThat(settings).isInstanceOf(Result.Ok.class);
        RouterSettings read = ((Result.Ok<RouterSettings>) settings).value();
        assertThat(read.operators()).isNotEmpty();
        assertThat(read.accounts()).isNotEmpty();
    }
}
