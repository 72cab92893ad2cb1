package io.siskintrail.internal.traffic.configuration;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Validates a complete configuration before it is accepted. */
public final class ConfigurationCheck {

    private ConfigurationCheck() {}

    /**
     * Returns {@code configuration} if it is valid, otherwise an error with the first problem
     * found.
     */
    public static Result<TrafficConfiguration> check(TrafficConfiguration configuration) {
        String error = findFirstError(configuration);
        return error == null
                ? Result.ok(configuration)
                : Result.err(ResultCode.CONFIGURATION_REFUSED, error);
    }

    private static String findFirstError(TrafficConfiguration c) {
        if (c.version() <= 0) {
            return "version is %d, expected a number above 0".formatted(c.version());
        }
        Set<ServiceName> knownServices = new HashSet<>();
        c.services().forEach(s -> knownServices.add(s.name()));
        Set<String> hostsWithPrefix = new HashSet<>();
        for (Route r : c.routes()) {
            String error = findRouteError(r, knownServices);
            if (error != null) {
                return error;
            }
            if (!hostsWithPrefix.add(r.host() + ' ' + r.pathPrefix())) {
                return "two routes have the same host %s and prefix %s"
                        .formatted(r.host(), r.pathPrefix());
            }
        }
        return findAccountError(c);
    }

    private static String findRouteError(Route r, Set<ServiceName> knownServices) {
        if (r.timeoutMillis() <= 0) {
            return "route %s has timeout %d ms, expected more than 0"
                    .formatted(r.name(), r.timeoutMillis());
        }
        if (!r.pathPrefix().startsWith("/") || !r.pathPrefix().endsWith("/")) {
            return "route %s has prefix %s, expected one that begins and ends with /"
                    .formatted(r.name(), r.pathPrefix());
        }
        long totalWeight = 0;
        for (WeightedService s : r.services()) {
            if (!knownServices.contains(s.service())) {
                return "route %s names unknown service %s".formatted(r.name(), s.service());
            }
            if (s.weight() < 0) {
                return "route %s has a service with weight %d, expected 0 or more"
                        .formatted(r.name(), s.weight());
            }
            totalWeight += s.weight();
        }
        return totalWeight == 0
                ? "route %s has no service with a weight above 0".formatted(r.name())
                : null;
    }

    private static String findAccountError(TrafficConfiguration c) {
        Map<String, AccountId> accountByKey = new HashMap<>();
        for (Account a : c.authentication().accounts()) {
            for (String key : a.keys()) {
                AccountId other = accountByKey.putIfAbsent(key, a.id());
                if (other != null && !other.equals(a.id())) {
                    return "accounts %s and %s share a key".formatted(other, a.id());
                }
            }
        }
        return null;
    }
}
