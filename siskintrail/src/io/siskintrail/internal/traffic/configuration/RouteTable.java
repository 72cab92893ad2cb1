package io.siskintrail.internal.traffic.configuration;

import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Looks up the routes, accounts and services of one configuration. Immutable. A route lookup costs
 * one hash lookup for each segment of the path, whatever the number of routes.
 */
public final class RouteTable {
    private final TrafficConfiguration configuration;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, Account> accountsByKey = new HashMap<>();
    private final Set<ServiceName> routedServices = new HashSet<>();
    private final Map<ServiceName, List<Route>> routesByService = new HashMap<>();
    private final Map<ServiceName, ServiceSpec> servicesByName = new HashMap<>();
    private final Map<ServiceName, Long> shortestStreamTargets = new HashMap<>();

    /** Creates an index of a configuration that {@link ConfigurationCheck} has accepted. */
    public RouteTable(TrafficConfiguration configuration) {
        this.configuration = configuration;
        for (Route r : configuration.routes()) {
            r.services().stream()
                    .filter(s -> s.weight() > 0)
                    .forEach(s -> addTarget(r, s.service()));
            routesByHost.computeIfAbsent(r.host(), h -> new HashMap<>()).put(r.pathPrefix(), r);
        }
        for (Account a : configuration.authentication().accounts()) {
            a.keys().forEach(k -> accountsByKey.put(k, a));
        }
        configuration.services().forEach(s -> servicesByName.put(s.name(), s));
    }

    private void addTarget(Route route, ServiceName service) {
        routedServices.add(service);
        routesByService.computeIfAbsent(service, s -> new ArrayList<>()).add(route);
        if (route.kind() == RouteKind.STREAM) {
            shortestStreamTargets.merge(service, route.targetLatencyMillis(), Math::min);
        }
    }

    /** Returns the version of the configuration. */
    public long version() {
        return configuration.version();
    }

    /** Returns the limits for clients. */
    public ClientLimits limits() {
        return configuration.limits();
    }

    /** Returns whether requests on routes that are not anonymous need an API key. */
    public boolean requiresApiKey() {
        return configuration.authentication() instanceof Authentication.ByApiKey;
    }

    /**
     * Returns the route with the longest prefix of {@code path}, or null when none matches.
     *
     * @param host the requested host name as sent, without a port
     * @param path the path as sent, without a query
     */
    public Route route(String host, String path) {
        Map<String, Route> routesByPrefix = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (routesByPrefix == null) {
            return null;
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = routesByPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return null;
    }

    /** Returns the account that owns the API key {@code key}, or null when there is none. */
    public Account account(String key) {
        return accountsByKey.get(key);
    }

    /** Returns the services that at least one route leads to with a weight above 0. */
    public Set<ServiceName> routedServices() {
        return routedServices;
    }

    /** Returns the routes that lead to a service with a weight above 0; empty if there is none. */
    public List<Route> routesTo(ServiceName service) {
        return routesByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the shortest latency target, in milliseconds, of the stream routes that lead to a
     * service with a weight above 0; {@link Long#MAX_VALUE} if there is none.
     */
    public long shortestStreamTargetMillis(ServiceName service) {
        return shortestStreamTargets.getOrDefault(service, Long.MAX_VALUE);
    }

    /** Returns the names of all services of the configuration. */
    public Set<ServiceName> services() {
        return servicesByName.keySet();
    }

    /** Returns the service {@code name}, or null when the configuration does not contain it. */
    public ServiceSpec service(ServiceName name) {
        return servicesByName.get(name);
    }
}
