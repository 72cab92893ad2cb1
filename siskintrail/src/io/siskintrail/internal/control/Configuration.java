package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.List;

/**
 * One version of what every host has to agree on: the rules and the list of hosts.
 *
 * @param version grows by 1 with each edit of the rules and each change of the hosts; 0 is empty
 * @param rulesNumber grows by 1 with each edit of the rules; 0 stands for no rules
 * @param rulesText the rules file
 * @param operator who applied the rules; empty for none
 * @param rulesAtMillis wall-clock time of that edit in milliseconds
 * @param hosts the hosts of the deployment, by id
 * @param draining the hosts that take no new work, by id
 */
public record Configuration(
        long version,
        long rulesNumber,
        String rulesText,
        String operator,
        long rulesAtMillis,
        List<HostInfo> hosts,
        List<HostId> draining) {

    /** The configuration before the first change. */
    public static final Configuration EMPTY =
            new Configuration(0, 0, "", "", 0, List.of(), List.of());

    /** Copies the lists. */
    public Configuration {
        hosts = List.copyOf(hosts);
        draining = List.copyOf(draining);
    }

    /** Returns whether {@code id} belongs to the deployment. */
    public boolean has(HostId id) {
        return hosts.stream().anyMatch(h -> h.id().equals(id));
    }

    /** Returns the next version with other rules. */
    Configuration withRules(String text, String byOperator, long atMillis) {
        return new Configuration(
                version + 1, rulesNumber + 1, text, byOperator, atMillis, hosts, draining);
    }

    /** Returns whether {@code id} belongs to the deployment and may take new work. */
    public boolean admits(HostId id) {
        return has(id) && !draining.contains(id);
    }

    /** Returns the next version with other hosts. */
    Configuration withHosts(List<HostInfo> nextHosts, List<HostId> nextDraining) {
        return new Configuration(
                version + 1,
                rulesNumber,
                rulesText,
                operator,
                rulesAtMillis,
                nextHosts,
                nextDraining);
    }
}
