package io.siskintrail.internal.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Decides on one host, for each request, which version it goes to, and counts the requests of a
 * rollout. Holds at most one lease; when it expires, for example because the host lost contact with
 * the registries, all requests go to the old version. Built for up to a few hundred requests per
 * second and one report every {@link RolloutController#REPORT_MILLIS}. Not thread-safe.
 *
 * <p>A host creates one object when it learns of the rollout and drops it when it learns the final
 * state, which then decides alone.
 */
public final class RolloutShare {
    private final String host;
    private final long incarnation;

    /** Send times of reports that a valid lease may still answer, by sequence number. */
    private final NavigableMap<Long, Long> reportTimes = new TreeMap<>();

    private final Map<RolloutCell, RolloutCount> counts = new HashMap<>();
    private long sequence;
    private long sentOld;
    private long sentNew;
    private long retired;
    private double credit;
    private RolloutLease lease;
    private long leaseEndMillis;

    /**
     * Creates the share of a host, without a lease.
     *
     * @param host the name of the host
     * @param incarnation a number that grows with every start of the host
     */
    public RolloutShare(String host, long incarnation) {
        this.host = host;
        this.incarnation = incarnation;
    }

    /**
     * Decides the version of one request, which the caller then sends, and counts it as sent.
     * Further attempts of a request ask again.
     *
     * @param nowMillis monotonic time
     * @return whether the request goes to the new version
     */
    public boolean sendToNew(long nowMillis) {
        boolean useNew = false;
        if (holdsLease(nowMillis) && sentNew < lease.maxSent()) {
            credit = Math.min(1, credit + lease.share());
            useNew = credit >= 1;
        }
        if (useNew) {
            credit -= 1;
            sentNew++;
        } else {
            sentOld++;
        }
        return useNew;
    }

    /**
     * Returns whether running streams and copies are to be moved from the old to the new version.
     *
     * @param nowMillis monotonic time
     */
    public boolean mustMoveRunning(long nowMillis) {
        return holdsLease(nowMillis) && lease.closing();
    }

    /**
     * Counts a usable answer; for a stream, its first event.
     *
     * @param cell what the request is counted by
     * @param latencyMillis the time in milliseconds since the request was sent to its endpoint
     */
    public void recordAnswer(RolloutCell cell, long latencyMillis) {
        RolloutCount before = counts.getOrDefault(cell, RolloutCount.NONE);
        counts.put(cell, before.withAnswer(latencyMillis));
    }

    /**
     * Counts a request that ended without a usable answer. A rejection as full is no failure and is
     * not recorded, nor is a request that its client gave up.
     *
     * @param cell what the request is counted by
     */
    public void recordFailure(RolloutCell cell) {
        counts.put(cell, counts.getOrDefault(cell, RolloutCount.NONE).withFailure());
    }

    /**
     * Accepts a lease; ignores one for another incarnation, one that answers an earlier report than
     * the held lease, and one whose report is unknown or too old.
     *
     * @param offered the lease
     */
    public void accept(RolloutLease offered) {
        Long sentAt = reportTimes.get(offered.sequence());
        boolean newer = lease == null || offered.sequence() > lease.sequence();
        if (sentAt != null && newer && offered.incarnation() == incarnation) {
            lease = offered;
            leaseEndMillis = sentAt + offered.validMillis();
            retired = Math.max(retired, offered.retired());
            reportTimes.headMap(offered.sequence(), true).clear();
        }
    }

    /**
     * Returns the next report. Call it every {@link #reportMillis}.
     *
     * @param nowMillis monotonic time; the caller sends the report at or after it
     * @param openOld streams, calls and copies of this host that are left at the old version
     * @param open the requests without an answer (streams: without a first event), by cell and by
     *     the time since they were sent; may be empty, which only delays the detection of slow
     *     answers
     */
    public RolloutReport report(long nowMillis, long openOld, Map<RolloutCell, RolloutCount> open) {
        sequence++;
        reportTimes.put(sequence, nowMillis);
        reportTimes.values().removeIf(t -> t < nowMillis - RolloutController.LEASE_MILLIS);
        boolean valid = holdsLease(nowMillis);
        return new RolloutReport(
                host,
                incarnation,
                sequence,
                sentOld,
                sentNew,
                openOld,
                valid ? Math.max(sentNew, lease.maxSent()) : sentNew,
                valid && lease.closing(),
                retired,
                counts,
                open);
    }

    /**
     * Returns the time in milliseconds from one report to the next.
     *
     * @param nowMillis monotonic time
     */
    public long reportMillis(long nowMillis) {
        return holdsLease(nowMillis) ? lease.reportMillis() : RolloutController.REPORT_MILLIS;
    }

    private boolean holdsLease(long nowMillis) {
        return lease != null && nowMillis < leaseEndMillis;
    }
}
