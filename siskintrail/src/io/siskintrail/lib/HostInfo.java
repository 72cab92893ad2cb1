package io.siskintrail.lib;

/**
 * A host of the deployment, as the settings name it.
 *
 * @param id the host
 * @param domain its failure domain
 * @param peerAddress {@code ip:port} where its processes take messages of peers
 */
public record HostInfo(HostId id, FailureDomain domain, String peerAddress) {}
