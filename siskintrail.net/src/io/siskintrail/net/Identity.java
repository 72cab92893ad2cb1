package io.siskintrail.net;

import io.siskintrail.lib.HostId;

/**
 * How a process introduces itself on links.
 *
 * @param role what it does
 * @param host its name; for a registry the address that its links are at
 */
public record Identity(PeerRole role, HostId host) {}
