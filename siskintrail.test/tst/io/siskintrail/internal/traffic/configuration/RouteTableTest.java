package io.siskintrail.internal.traffic.configuration;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.ServiceName;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Of the routes of a host, the one with the longest path prefix is chosen. Prefixes match whole
 * path segments as sent, without percent-decoding; host names match in any case.
 */
class RouteTableTest {
    private static final WeightedService MODEL_SERVICE =
            new WeightedService(new ServiceName("model"), 1);
    private final RouteTable table =
            new RouteTable(
                    new TrafficConfiguration(
                            3,
                            List.of(
                                    ConfigurationCheckTest.route("short", "/a/", 1, MODEL_SERVICE),
                                    ConfigurationCheckTest.route(
                                            "long", "/a/b/", 1, MODEL_SERVICE)),
                            List.of(),
                            ClientLimits.DEFAULT,
                            new Authentication.None()));

    /** The route {@code -} stands for no match. */
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
    void routeWithLongestPrefixIsChosen(String host, String path, String expectedRoute) {
        Route route = table.route(host, path);

        assertThat(route == null ? "-" : route.name()).isEqualTo(expectedRoute);
    }

    /** Guards against a limit of queued work that follows the target of a short call. */
    @Test
    void shortestTargetIsThatOfTheStreams() {
        RouteTable streams =
                new RouteTable(
                        new TrafficConfiguration(
                                3,
                                List.of(
                                        routeWithTarget("/bulk/", RouteKind.STREAM, 10_000),
                                        routeWithTarget("/urgent/", RouteKind.STREAM, 4_000),
                                        routeWithTarget("/call/", RouteKind.IDEMPOTENT, 200)),
                                List.of(),
                                ClientLimits.DEFAULT,
                                new Authentication.None()));

        assertThat(streams.shortestStreamTargetMillis(MODEL_SERVICE.service())).isEqualTo(4_000);
        assertThat(streams.shortestStreamTargetMillis(new ServiceName("other")))
                .isEqualTo(Long.MAX_VALUE);
    }

    private static Route routeWithTarget(String prefix, RouteKind kind, long targetMillis) {
        return new Route(
                prefix,
                "host.example",
                prefix,
                kind,
                List.of(MODEL_SERVICE),
                25_000,
                targetMillis,
                700,
                0,
                1,
                false,
                true);
    }
}
