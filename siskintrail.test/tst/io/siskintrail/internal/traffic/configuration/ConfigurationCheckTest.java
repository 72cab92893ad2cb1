package io.siskintrail.internal.traffic.configuration;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A configuration with any error is rejected as a whole. */
class ConfigurationCheckTest {
    private static final ServiceName MODEL = new ServiceName("model");
    private static final ServiceName OTHER = new ServiceName("other");

    record Case(String name, TrafficConfiguration configuration, String expectedError) {}

    static Stream<Case> cases() {
        Route validRoute = route("r1", "/a/", 1_000, new WeightedService(MODEL, 1));
        return Stream.of(
                new Case("valid", with(5, List.of(validRoute)), null),
                new Case("no version", with(0, List.of(validRoute)), "version"),
                new Case(
                        "unknown service",
                        with(5, List.of(route("r", "/a/", 1, new WeightedService(OTHER, 1)))),
                        "unknown service"),
                new Case(
                        "no weight",
                        with(5, List.of(route("r", "/a/", 1, new WeightedService(MODEL, 0)))),
                        "weight"),
                new Case(
                        "no timeout",
                        with(5, List.of(route("r", "/a/", 0, new WeightedService(MODEL, 1)))),
                        "timeout"),
                new Case(
                        "same host and prefix",
                        with(
                                5,
                                List.of(
                                        validRoute,
                                        route("r2", "/a/", 1, new WeightedService(MODEL, 1)))),
                        "two routes"),
                new Case("shared key", withSharedKey(), "share a key"));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void configurationErrorIsReported(Case c) {
        Result<TrafficConfiguration> result = ConfigurationCheck.check(c.configuration());

        if (c.expectedError() == null) {
            assertThat(result).isInstanceOf(Result.Ok.class);
        } else {
            assertThat(((Result.Err<?>) result).failure().detail()).contains(c.expectedError());
        }
    }

    private static TrafficConfiguration withSharedKey() {
        return new TrafficConfiguration(
                5,
                List.of(),
                List.of(),
                ClientLimits.DEFAULT,
                new Authentication.ByApiKey(
                        List.of(
                                new Account(new AccountId("a"), List.of("k1", "k2"), null),
                                new Account(new AccountId("b"), List.of("k2"), null))));
    }

    private static TrafficConfiguration with(long version, List<Route> routes) {
        return new TrafficConfiguration(
                version,
                routes,
                List.of(new ServiceSpec(MODEL, "/health", 10, null)),
                ClientLimits.DEFAULT,
                new Authentication.None());
    }

    static Route route(String name, String prefix, long timeout, WeightedService... services) {
        return new Route(
                name,
                "host.example",
                prefix,
                RouteKind.IDEMPOTENT,
                List.of(services),
                timeout,
                100,
                0,
                0,
                2,
                false,
                false);
    }
}
