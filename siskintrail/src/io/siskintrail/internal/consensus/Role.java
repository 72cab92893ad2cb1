package io.siskintrail.internal.consensus;

/** What a replica does in its term. */
public enum Role {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
