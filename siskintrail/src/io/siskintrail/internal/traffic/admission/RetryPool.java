package io.siskintrail.internal.traffic.admission;

import io.siskintrail.lib.HostId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Lets a host use retries to a service that the other hosts leave unused. Load: the loss of a
 * failure domain hits a third of all streams at once. A host that sees less than a request per
 * second has a share of a few retries in ten seconds, while the budget of all hosts together is
 * mostly unused.
 *
 * <p>The hosts report their requests and retries of the current window. Each may draw its share, by
 * open streams, of what is left according to the reports; a draw counts against that share until
 * the other hosts can know of it. So the draws of all hosts within one report delay stay below what
 * was left. Not thread-safe.
 */
public final class RetryPool {
    /** Share of the common budget from which hosts draw. */
    private static final double POOLED_SHARE = 0.7;

    /**
     * Share of its own budget that a host uses without regard to the others while there is a pool:
     * what is left of the common budget if the pool is used up.
     */
    public static final double OWN_SHARE = 1 - POOLED_SHARE;

    /**
     * Time after which a retry is assumed to be known to all hosts: the longest interval of relays,
     * and a lost packet on each way.
     */
    private static final long REPORT_DELAY_MILLIS = 400;

    /** Time for which the requests of a report count; hosts repeat their reports more often. */
    private static final long REQUESTS_TTL_MILLIS = 5_000;

    private final double ratio;
    private final long windowMillis;
    private final Map<HostId, Report> reports = new HashMap<>();

    /** When this host drew a retry within the last {@link #REPORT_DELAY_MILLIS}. */
    private final Deque<Long> recentDraws = new ArrayDeque<>();

    private record Report(int requests, int retries, long receivedAtMillis) {}

    /**
     * Creates a pool without reports.
     *
     * @param ratio retries that each request allows
     * @param windowMillis the length of the sliding window of the budget
     */
    public RetryPool(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
    }

    /** Stores what another host reports, replacing its earlier report. */
    public void record(HostId host, RetryUsage usage, long nowMillis) {
        reports.values().removeIf(r -> nowMillis - r.receivedAtMillis > windowMillis);
        reports.put(host, new Report(usage.requests(), usage.retries(), nowMillis));
    }

    /**
     * Returns how many retries the hosts together may still make in the current window, as far as
     * reports tell; negative when there were too many.
     *
     * @param reserve retries that all hosts together may make in addition to the share of requests
     * @param own the requests and retries of this host in the window
     */
    public double left(long nowMillis, double reserve, RetryUsage own) {
        reports.values().removeIf(r -> nowMillis - r.receivedAtMillis > windowMillis);
        int requests = own.requests();
        int retries = own.retries();
        for (Report r : reports.values()) {
            boolean isFresh = nowMillis - r.receivedAtMillis <= REQUESTS_TTL_MILLIS;
            requests += isFresh ? r.requests : 0;
            retries += r.retries;
        }
        return POOLED_SHARE * (ratio * requests + reserve) - retries;
    }

    /**
     * Returns whether this host may make one more retry at the expense of the others.
     *
     * @param share this host's share of the open streams of all hosts, from 0 to 1
     */
    public boolean mayDraw(long nowMillis, double reserve, RetryUsage own, double share) {
        while (!recentDraws.isEmpty()
                && nowMillis - recentDraws.peekFirst() >= REPORT_DELAY_MILLIS) {
            recentDraws.removeFirst();
        }
        double leftAtLastReports = left(nowMillis, reserve, own) + recentDraws.size();
        return !reports.isEmpty() && recentDraws.size() + 1 <= share * leftAtLastReports;
    }

    /** Returns whether other hosts have reported within the window. */
    public boolean hasReports(long nowMillis) {
        return reports.values().stream()
                .anyMatch(r -> nowMillis - r.receivedAtMillis <= windowMillis);
    }

    /** Records that this host draws a retry. */
    public void recordDraw(long nowMillis) {
        recentDraws.addLast(nowMillis);
    }
}
