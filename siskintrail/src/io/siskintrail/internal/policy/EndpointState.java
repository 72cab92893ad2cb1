package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.Rank;
import java.util.List;

/** State of one endpoint as one router knows it. */
final class EndpointState {
    private static final long REPORT_TTL_MILLIS = 5_000;

    EndpointInfo info;
    List<Target> targets;
    String pool = "";
    EndpointHealth health;
    private int urgent;
    private int bulk;
    private int reportedLoad = -1;
    private long reportedAtMillis;
    private int runningAtReport;

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

    int urgent() {
        return urgent;
    }

    int bulk() {
        return bulk;
    }

    /** Returns the number of requests of this router that hold a slot. */
    int running() {
        return urgent + bulk;
    }

    void changeRunning(Rank rank, int change) {
        if (rank == Rank.URGENT) {
            urgent += change;
        } else {
            bulk += change;
        }
        if (urgent < 0 || bulk < 0) {
            throw new IllegalStateException(
                    "endpoint %s has a negative number of running requests".formatted(info.id()));
        }
    }

    void recordLoad(long now, int running, int waiting) {
        reportedLoad = running + waiting;
        reportedAtMillis = now;
        runningAtReport = running();
    }

    /** Returns when the last load report arrived, in milliseconds; 0 before the first one. */
    long reportedAtMillis() {
        return reportedAtMillis;
    }

    /** Returns the running and waiting requests of the last report, -1 without a recent report. */
    int reportedLoad(long now) {
        return now - reportedAtMillis <= REPORT_TTL_MILLIS ? reportedLoad : -1;
    }

    /** Returns the estimated load: the last report plus the change of own requests since. */
    int load(long now) {
        int r = reportedLoad(now);
        return r < 0 ? running() : Math.max(running(), r + running() - runningAtReport);
    }

    /** Returns the number of slots that all routers together may use now. */
    int capacity(long now) {
        return info.leaving() ? 0 : health.allowedSlots(now, info.slots());
    }
}
