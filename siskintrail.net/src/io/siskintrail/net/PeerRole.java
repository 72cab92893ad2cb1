package io.siskintrail.net;

/** What a process at the end of a link does. */
public enum PeerRole {
    /** Holds the configuration and the directory of endpoints. */
    REGISTRY,
    /** Takes requests. */
    EDGE
}
