package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.List;

/** Commands that change the configuration. Each may be repeated and delayed. */
public sealed interface ConfigurationCommand {

    /**
     * Replaces the rules file. The text has been checked by whoever proposes it; replicas take it
     * as it is, so that replicas of different releases stay equal.
     *
     * @param baseNumber the number of the rules that the edit was made from
     * @param text the whole new file
     * @param operator who applies it
     */
    record ApplyRules(long baseNumber, String text, String operator)
            implements ConfigurationCommand {}

    /**
     * Records that a version is in force: a majority of all hosts has it.
     *
     * @param version the version of the configuration
     */
    record MarkInForce(long version) implements ConfigurationCommand {}

    /**
     * Sets the first hosts of the deployment; refused once there are any.
     *
     * @param hosts the hosts
     */
    record SeedHosts(List<HostInfo> hosts) implements ConfigurationCommand {
        /** Copies the list. */
        public SeedHosts {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Adds a host or changes its address or failure domain.
     *
     * @param host the host
     */
    record PutHost(HostInfo host) implements ConfigurationCommand {}

    /**
     * Lets a host take no new work, or take it again. What runs there goes on.
     *
     * @param host the host
     * @param draining whether it takes no new work
     */
    record SetDraining(HostId host, boolean draining) implements ConfigurationCommand {}

    /**
     * Removes a host for good.
     *
     * @param host the host
     */
    record RemoveHost(HostId host) implements ConfigurationCommand {}
}
