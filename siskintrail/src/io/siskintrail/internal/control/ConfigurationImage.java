package io.siskintrail.internal.control;

import io.siskintrail.lib.HostInfo;
import java.util.List;

/**
 * The whole {@link ConfigurationState}.
 *
 * @param current the newest committed configuration
 * @param previousHosts the hosts before the last change of the hosts
 * @param hostsVersion the version of that change
 * @param inForceVersion the newest version known to be in force
 * @param history the kept edits, oldest first
 */
public record ConfigurationImage(
        Configuration current,
        List<HostInfo> previousHosts,
        long hostsVersion,
        long inForceVersion,
        List<RulesEdit> history) {

    /** Copies the lists. */
    public ConfigurationImage {
        previousHosts = List.copyOf(previousHosts);
        history = List.copyOf(history);
    }
}
