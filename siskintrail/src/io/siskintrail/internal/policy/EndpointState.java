package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.Rank;
import java.util.List;

/** State of one endpoint as observed by this router. */
final class EndpointState {
    private static final long REPORT_TTL_MILLIS = 5_000;

    EndpointInfo info;
    List<Target> targets;

    /** Name of the pool; empty until {@link EndpointTable} assigns the endpoint to one. */
    String pool = "";

    EndpointHealth health;
    private int urgentRunning;
    private int bulkRunning;
    private int reportedLoad = -1;
    private long reportedAtMillis;
    private int localRunningAtReport;

    EndpointState(EndpointInfo info, long now) {
        this.health = new EndpointHealth(now, true);
        update(info);
    }

    void update(EndpointInfo newInfo) {
        info = newInfo;
        targets = Target.of(newInfo);
    }

    boolean serves(Target target) {
        return targets.contains(target);
    }

    /** Returns the number of urgent requests of this router that hold a slot. */
    int urgentRunning() {
        return urgentRunning;
    }

    /** Returns the number of bulk requests of this router that hold a slot. */
    int bulkRunning() {
        return bulkRunning;
    }

    /** Returns the number of requests of this router that hold a slot, of both ranks. */
    int running() {
        return urgentRunning + bulkRunning;
    }

    void changeRunning(Rank rank, int change) {
        if (rank == Rank.URGENT) {
            urgentRunning += change;
        } else {
            bulkRunning += change;
        }
        if (urgentRunning < 0 || bulkRunning < 0) {
            throw new IllegalStateException(
                    "endpoint %s has a negative number of running requests".formatted(info.id()));
        }
    }

    /** Records a load report of the endpoint, which counts the requests of all routers. */
    void recordLoad(long now, int reportedRunning, int reportedWaiting) {
        reportedLoad = reportedRunning + reportedWaiting;
        reportedAtMillis = now;
        localRunningAtReport = running();
    }

    /** Returns when the last load report arrived, in milliseconds; 0 before the first one. */
    long reportedAtMillis() {
        return reportedAtMillis;
    }

    /**
     * Returns the number of running and waiting requests of all routers in the last load report; -1
     * without a recent report.
     */
    int reportedLoad(long now) {
        return now - reportedAtMillis <= REPORT_TTL_MILLIS ? reportedLoad : -1;
    }

    /**
     * Returns the estimated number of requests on the endpoint: the last load report plus the
     * change of the requests of this router since that report, and at least the requests of this
     * router.
     */
    int load(long now) {
        int reported = reportedLoad(now);
        return reported < 0
                ? running()
                : Math.max(running(), reported + running() - localRunningAtReport);
    }

    /** Returns the number of slots that all routers together may use now. */
    int capacity(long now) {
        return info.leaving() ? 0 : health.allowedSlots(now, info.slots());
    }
}
