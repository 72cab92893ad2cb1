package io.siskintrail.registry;

import java.util.List;

/**
 * Settings of a registry.
 *
 * @param host the name of the host
 * @param domain its failure domain
 * @param ip the address that it listens at
 * @param callAddress {@code ip:port} for operators and endpoints
 * @param linkPort the port for links of other processes, the same on all hosts
 * @param metricsPort the port of the metrics
 * @param seeds call addresses of some registries
 * @param founding whether the deployment starts for the first time, so that the seeds begin a log
 * @param dataFolder where the log is kept
 * @param heartbeatMillis how often endpoints report
 * @param toleratedLosses how many disks may be lost at once
 */
public record RegistrySettings(
        String host,
        String domain,
        String ip,
        String callAddress,
        int linkPort,
        int metricsPort,
        List<String> seeds,
        boolean founding,
        String dataFolder,
        long heartbeatMillis,
        int toleratedLosses) {
    private static final int FEWEST_VOTERS = 3;

    /** Copies the seeds. */
    public RegistrySettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns how many replicas vote, so that a majority survives the tolerated losses. */
    public int voters() {
        return Math.max(FEWEST_VOTERS, 2 * toleratedLosses + 1);
    }
}
