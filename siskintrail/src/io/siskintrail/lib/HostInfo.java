package io.siskintrail.lib;

/**
 * A host of the deployment as the settings define it.
 *
 * @param id the host
 * @param domain its failure domain
 * @param peerAddress {@code ip:port} at which its processes receive messages from peers
 */
public record HostInfo(HostId id, FailureDomain domain, String peerAddress) {}
