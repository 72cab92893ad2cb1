package io.siskintrail.internal.membership;

import io.siskintrail.lib.HostId;
import java.util.List;

/** Messages between the memberships of two hosts. Any may be lost, repeated or late. */
public sealed interface MembershipMessage {

    /**
     * Asks whether a host lives.
     *
     * @param number comes back with the answer
     * @param entries news, the sender's own entry first
     */
    record Ping(long number, List<MemberEntry> entries) implements MembershipMessage {}

    /**
     * Answers a {@link Ping}, or hands on the answer to a {@link PingRequest}.
     *
     * @param number the number of the ping
     * @param entries news, the entry of the asking host first when it is not held for alive
     */
    record Ack(long number, List<MemberEntry> entries) implements MembershipMessage {}

    /**
     * Asks a host to ping another on behalf of the sender.
     *
     * @param number comes back with the {@link Ack}
     * @param target the host to ping
     */
    record PingRequest(long number, HostId target) implements MembershipMessage {}

    /**
     * Passes on news.
     *
     * @param entries the news
     */
    record Gossip(List<MemberEntry> entries) implements MembershipMessage {}

    /**
     * Asks a router for the renewals that it got.
     *
     * @param number comes back with the answer
     */
    record Pull(long number) implements MembershipMessage {}

    /**
     * Answers a {@link Pull}.
     *
     * @param number the number of the pull
     * @param renewals the last renewals that the sender got
     */
    record Renewals(long number, List<Renewal> renewals) implements MembershipMessage {}

    /**
     * Starts a comparison of all entries.
     *
     * @param buckets the digest of each bucket of entries
     */
    record Digest(List<Long> buckets) implements MembershipMessage {}

    /**
     * Sends the entries of buckets that differ.
     *
     * @param buckets the numbers of the buckets
     * @param entries all entries in them
     * @param answer whether the receiver is to send its own entries of these buckets back
     */
    record Buckets(List<Integer> buckets, List<MemberEntry> entries, boolean answer)
            implements MembershipMessage {}
}
