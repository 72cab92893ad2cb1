package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.ServiceName;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The route with the longest matching prefix wins; only whole, undecoded segments match. */
class RouteTableTest {
    private static final WeightedService MODEL = new WeightedService(new ServiceName("model"), 1);
    private final RouteTable table =
            new RouteTable(
                    new TrafficConfiguration(
                            3,
                            List.of(
                                    ConfigurationCheckTest.route("short", "/a/", 1, MODEL),
                                    ConfigurationCheckTest.route("long", "/a/b/", 1, MODEL)),
                            List.of(),
                            ClientLimits.DEFAULT,
                            List.of()));

    @ParameterizedTest
    @CsvSource({
        "host.example, /a/x, short",
        "HOST.example, /a/b/x, long",
        "host.example, /a/b/, long",
        "host.example, /a/b, short",
        "host.example, /a/bb/x, short",
        "host.example, /a/%62/x, short",
        "host.example, /a, -",
        "host.example, /b/x, -",
        "other.example, /a/x, -",
    })
    void longestPrefixIsChosen(String host, String path, String expected) {
        Route route = table.route(host, path);

        assertThat(route == null ? "-" : route.name()).isEqualTo(expected);
    }
}
