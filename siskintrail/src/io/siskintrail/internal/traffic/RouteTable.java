package io.siskintrail.internal.traffic;

import io.siskintrail.lib.ServiceName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Finds routes, accounts and services of one configuration. Immutable; a lookup costs one hash for
 * each segment of the path, whatever the number of routes.
 */
public final class RouteTable {
    private final TrafficConfiguration configuration;
    private final Map<String, Map<String, Route>> byHost = new HashMap<>();
    private final Map<String, Account> byKey = new HashMap<>();
    private final Set<ServiceName> routed = new HashSet<>();
    private final Map<ServiceName, ServiceSpec> services = new HashMap<>();

    /** Indexes a checked configuration. */
    public RouteTable(TrafficConfiguration configuration) {
        this.configuration = configuration;
        for (Route r : configuration.routes()) {
            r.services().stream().filter(s -> s.weight() > 0).forEach(s -> routed.add(s.service()));
            byHost.computeIfAbsent(r.host(), h -> new HashMap<>()).put(r.pathPrefix(), r);
        }
        for (Account a : configuration.accounts()) {
            a.keys().forEach(k -> byKey.put(k, a));
        }
        configuration.services().forEach(s -> services.put(s.name(), s));
    }

    /** Returns the version of the configuration. */
    public long version() {
        return configuration.version();
    }

    /** Returns what clients may send. */
    public ClientLimits limits() {
        return configuration.limits();
    }

    /** Returns whether requests need the key of an account. */
    public boolean hasAccounts() {
        return !configuration.accounts().isEmpty();
    }

    /**
     * Returns the route with the longest prefix of {@code path}, null when there is none.
     *
     * @param host the host as sent, without a port
     * @param path the path as sent, without a query
     */
    public Route route(String host, String path) {
        Map<String, Route> prefixes = byHost.get(host.toLowerCase(Locale.ROOT));
        if (prefixes == null) {
            return null;
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return null;
    }

    /** Returns the account that holds {@code key}, null when there is none. */
    public Account account(String key) {
        return byKey.get(key);
    }

    /** Returns the services that a route leads to. */
    public Set<ServiceName> routedServices() {
        return routed;
    }

    /** Returns the service {@code name}, null when the configuration has none. */
    public ServiceSpec service(ServiceName name) {
        return services.get(name);
    }
}
