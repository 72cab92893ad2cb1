package io.siskintrail.internal.traffic;

import io.siskintrail.internal.traffic.configuration.Route;
import io.siskintrail.internal.traffic.configuration.RouteKind;
import io.siskintrail.internal.traffic.configuration.WeightedService;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;
import java.util.List;

/** Creates routes and endpoint records for tests. */
public final class Records {
    public static final ServiceName MODEL = new ServiceName("model");

    private Records() {}

    /** Returns a route of {@code kind} with {@link #MODEL} as its only service. */
    public static Route route(RouteKind kind, long targetLatencyMillis) {
        return route(kind, targetLatencyMillis, 3, true);
    }

    /** Returns a route of streams. */
    public static Route stream(boolean resumable, int maxAttempts) {
        return route(RouteKind.STREAM, 400, maxAttempts, resumable);
    }

    private static Route route(
            RouteKind kind, long targetLatencyMillis, int maxAttempts, boolean resumable) {
        List<WeightedService> services = List.of(new WeightedService(MODEL, 1));
        return new Route(
                "r",
                "h",
                "/r/",
                kind,
                services,
                25_000,
                targetLatencyMillis,
                700,
                0,
                maxAttempts,
                true,
                resumable);
    }

    /** Returns the record of a ready engine with 12 slots. */
    public static EndpointRecord engine(String id, String domain) {
        return at(id, 1, 1, id + ":80", domain, EndpointState.READY);
    }

    /** Returns the record of an endpoint with 12 slots. */
    public static EndpointRecord at(
            String id,
            long incarnation,
            long sequence,
            String address,
            String domain,
            EndpointState state) {
        return new EndpointRecord(
                new EndpointId(id),
                incarnation,
                sequence,
                MODEL,
                address,
                new FailureDomain(domain),
                12,
                0,
                state);
    }
}
