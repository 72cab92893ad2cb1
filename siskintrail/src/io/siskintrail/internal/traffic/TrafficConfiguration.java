package io.siskintrail.internal.traffic;

import java.util.List;

/**
 * A complete configuration of the traffic path.
 *
 * @param version its number; the highest one is in force
 * @param routes where requests go
 * @param services the services that routes name
 * @param limits what clients may send
 * @param accounts the client accounts
 */
public record TrafficConfiguration(
        long version,
        List<Route> routes,
        List<ServiceSpec> services,
        ClientLimits limits,
        List<Account> accounts) {

    /** Copies the lists. */
    public TrafficConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
