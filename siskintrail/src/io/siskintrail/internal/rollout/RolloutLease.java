package io.siskintrail.internal.rollout;

/**
 * Permits a host to send requests to the new version. A later lease replaces an earlier one.
 * Without a valid lease a host sends to the old version only.
 *
 * @param host the name of the host
 * @param incarnation the incarnation of the host
 * @param sequence the report that the lease answers
 * @param share the share of requests for the new version, from 0 to 1
 * @param maxSent the number of requests to the new version, counted since the host joined the
 *     rollout, at which the host stops sending there; {@code Long.MAX_VALUE} in a closing lease
 * @param validMillis the time in milliseconds that the lease is valid, counted from the moment the
 *     host <em>sent</em> the report that the lease answers, so no clocks need to agree
 * @param closing whether the host moves what still runs at the old version
 * @param reportMillis the time in milliseconds between two reports while the lease is valid;
 *     shorter near the deadline, so that a lost report does not delay completion
 * @param retired requests to the new version that are attributed to ended incarnations; hosts
 *     report the largest value they received, so that it outlives a leader
 */
public record RolloutLease(
        String host,
        long incarnation,
        long sequence,
        double share,
        long maxSent,
        long validMillis,
        boolean closing,
        long reportMillis,
        long retired) {}
