package io.siskintrail.net;

import io.siskintrail.lib.HostId;

/**
 * Identity that a process sends as the first message on a link.
 *
 * @param role the role of the process
 * @param host the name of the host; for a registry the address at which it accepts links
 */
public record Identity(PeerRole role, HostId host) {}
