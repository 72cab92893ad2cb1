package io.siskintrail.control.internal.configuration;

/**
 * Says for how long the replica in this process certainly leads.
 *
 * @param untilMillis the first moment of the monotonic clock at which another replica may lead
 * @param startIndex the index of the first entry of the leader's own term; everything committed
 *     before stands below it
 */
public record LeaderLease(long untilMillis, long startIndex) {

    /** The lease of a replica that does not lead. */
    public static final LeaderLease NONE = new LeaderLease(Long.MIN_VALUE, 0);
}
