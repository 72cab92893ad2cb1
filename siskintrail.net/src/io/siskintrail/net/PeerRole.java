package io.siskintrail.net;

/** Role of a process at the end of a link. Links transmit the ordinals of the constants. */
public enum PeerRole {
    /** Stores the configuration and the directory of endpoints. */
    REGISTRY,
    /** Accepts client requests. */
    EDGE
}
