package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.Rank;
import java.util.List;

/** What one router knows of one endpoint. */
final class EndpointState {
    private static final long REPORT_TTL_MILLIS = 5_000;

    EndpointInfo info;
    List<Target> targets;
    String pool = "";
    EndpointHealth health;
    private int urgent;
    private int bulk;
    private int reported = -1;
    private long reportedAt;
    private int ownAtReport;

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

    /** Returns the requests of this router that hold a slot. */
    int running() {
        return urgent + bulk;
    }

    void occupy(Rank rank, int change) {
        if (rank == Rank.URGENT) {
            urgent += change;
        } else {
            bulk += change;
        }
        if (urgent < 0 || bulk < 0) {
            throw new IllegalStateException("endpoint %s has lost a slot".formatted(info.id()));
        }
    }

    void report(long now, int running, int waiting) {
        reported = running + waiting;
        reportedAt = now;
        ownAtReport = running();
    }

    /** Returns when the last load report came. */
    long reportedAt() {
        return reportedAt;
    }

    /** Returns the last reported load, or -1 when there is no recent report. */
    int reported(long now) {
        return now - reportedAt <= REPORT_TTL_MILLIS ? reported : -1;
    }

    /** Returns the load now: the last report plus own dispatches since. */
    int load(long now) {
        int r = reported(now);
        return r < 0 ? running() : Math.max(running(), r + running() - ownAtReport);
    }

    /** Returns how many slots all routers together may use now. */
    int capacity(long now) {
        return info.leaving() ? 0 : health.allowed(now, info.slots());
    }
}
