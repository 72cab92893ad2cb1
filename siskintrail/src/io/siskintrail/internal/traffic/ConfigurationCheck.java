package io.siskintrail.internal.traffic;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Checks a configuration as a whole before it is accepted. */
public final class ConfigurationCheck {

    private ConfigurationCheck() {}

    /** Returns {@code configuration}, or the first reason why it cannot be used. */
    public static Result<TrafficConfiguration> check(TrafficConfiguration configuration) {
        String fault = firstFault(configuration);
        return fault == null
                ? Result.ok(configuration)
                : Result.err(ResultCode.CONFIGURATION_REFUSED, fault);
    }

    private static String firstFault(TrafficConfiguration c) {
        if (c.version() <= 0) {
            return "version %d is not above 0".formatted(c.version());
        }
        Set<ServiceName> known = new HashSet<>();
        c.services().forEach(s -> known.add(s.name()));
        Set<String> places = new HashSet<>();
        for (Route r : c.routes()) {
            String fault = routeFault(r, known);
            if (fault != null) {
                return fault;
            }
            if (!places.add(r.host() + ' ' + r.pathPrefix())) {
                return "two routes have host %s and prefix %s".formatted(r.host(), r.pathPrefix());
            }
        }
        return accountFault(c);
    }

    private static String routeFault(Route r, Set<ServiceName> known) {
        if (r.timeoutMillis() <= 0) {
            return "route %s has timeout %d ms".formatted(r.name(), r.timeoutMillis());
        }
        if (!r.pathPrefix().startsWith("/") || !r.pathPrefix().endsWith("/")) {
            return "route %s has prefix %s".formatted(r.name(), r.pathPrefix());
        }
        long total = 0;
        for (WeightedService s : r.services()) {
            if (!known.contains(s.service())) {
                return "route %s names unknown service %s".formatted(r.name(), s.service());
            }
            if (s.weight() < 0) {
                return "route %s has weight %d".formatted(r.name(), s.weight());
            }
            total += s.weight();
        }
        return total == 0 ? "route %s has no weight above 0".formatted(r.name()) : null;
    }

    private static String accountFault(TrafficConfiguration c) {
        Map<String, AccountId> owners = new HashMap<>();
        for (Account a : c.accounts()) {
            for (String key : a.keys()) {
                AccountId other = owners.putIfAbsent(key, a.id());
                if (other != null && !other.equals(a.id())) {
                    return "accounts %s and %s share a key".formatted(other, a.id());
                }
            }
        }
        return null;
    }
}
