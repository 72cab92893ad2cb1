package io.siskintrail.internal.membership;

/** What gossip carries of one member. Of two entries of one member, one supersedes the other. */
public sealed interface MemberEntry permits HostEntry, EndpointEntry {

    /** Returns a text that is the same for all entries of one member and no other. */
    String key();

    /** Returns a hash over all fields that differ between entries of one member. */
    long fingerprint();

    /** Returns roughly how many bytes the entry takes in a message. */
    int sizeBytes();
}
