package io.siskintrail.internal.traffic.configuration;

import java.util.List;

/**
 * Complete configuration of the request path through edges.
 *
 * @param version the version number; the highest one is in force
 * @param routes map requests to services
 * @param services the services that routes refer to
 * @param limits the limits for requests and connections of clients
 * @param authentication whether requests need an API key, and of which client accounts
 */
public record TrafficConfiguration(
        long version,
        List<Route> routes,
        List<ServiceSpec> services,
        ClientLimits limits,
        Authentication authentication) {

    /** Makes the lists immutable. */
    public TrafficConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }
}
