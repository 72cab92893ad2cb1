package io.siskintrail.edge.internal;

import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.internal.traffic.admission.RetryBudget;
import io.siskintrail.internal.traffic.admission.RetryPool;
import io.siskintrail.internal.traffic.admission.RetryUsage;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.ToDoubleFunction;

/**
 * Retry budgets of this edge, by service. A stream that finds the share of this edge used up may
 * draw on what the other edges leave unused. Confined to the event loop.
 */
final class RetryBudgets {
    /**
     * Longest wait for a retry. Clients leave a stream after a gap of two seconds at the earliest,
     * and a resumption takes some time itself.
     */
    private static final long MAX_WAIT_MILLIS = 1_500;

    private final EdgeSettings settings;
    private final IntSupplier edgeCount;
    private final BooleanSupplier hasManyEdges;
    private final ToDoubleFunction<ServiceName> openStreamsShare;
    private final EdgeStats stats;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private final Map<ServiceName, RetryPool> pools = new HashMap<>();
    private final Map<ServiceName, RetryUsage> reported = new HashMap<>();

    /**
     * Creates budgets of which nothing is used.
     *
     * @param edgeCount returns the number of edges, at least 1
     * @param hasManyEdges returns whether there are enough edges to pool their retries; with few,
     *     the share of each is large enough
     * @param openStreamsShare returns this edge's share of the open streams of a service, from 0 to
     *     1
     */
    RetryBudgets(
            EdgeSettings settings,
            IntSupplier edgeCount,
            BooleanSupplier hasManyEdges,
            ToDoubleFunction<ServiceName> openStreamsShare,
            EdgeStats stats) {
        this.settings = settings;
        this.edgeCount = edgeCount;
        this.hasManyEdges = hasManyEdges;
        this.openStreamsShare = openStreamsShare;
        this.stats = stats;
    }

    /** Records the first attempt of a request. */
    void recordRequest(ServiceName service) {
        budget(service).recordRequest(EventLoop.nowMillis());
    }

    /** Lets the streams of a service draw on retries of other edges. */
    void addPooled(ServiceName service) {
        pools.computeIfAbsent(
                service, s -> new RetryPool(settings.retryRatio(), settings.retryWindowMillis()));
    }

    /** Takes one retry; returns false when none is left. */
    boolean tryAcquire(ServiceName service) {
        long now = EventLoop.nowMillis();
        if (hasOwnLeft(service, now)) {
            budget(service).recordAttempt(now);
            return true;
        }
        if (!mayDraw(service, now)) {
            stats.increment("siskintrail_edge_retries_denied_total", "");
            return false;
        }
        pools.get(service).recordDraw(now);
        budget(service).recordAttempt(now);
        stats.increment("siskintrail_edge_retries_drawn_total", "");
        return true;
    }

    /** Returns whether {@link #tryAcquire} would take a retry. */
    boolean hasLeft(ServiceName service) {
        long now = EventLoop.nowMillis();
        return hasOwnLeft(service, now) || mayDraw(service, now);
    }

    /**
     * Returns whether a stream may wait for a retry that other edges leave unused.
     *
     * @param lostAtMillis when the stream lost its engine, in monotonic milliseconds
     */
    boolean isWorthWaiting(long lostAtMillis) {
        return isPooled() && EventLoop.nowMillis() - lostAtMillis < MAX_WAIT_MILLIS;
    }

    /** Returns a retry that was taken at {@code acquiredAtMillis} and reached no endpoint. */
    void release(ServiceName service, long acquiredAtMillis) {
        budget(service).release(EventLoop.nowMillis(), acquiredAtMillis);
    }

    /** Applies what another edge reports. */
    void applyReport(HostId host, List<RetryUsage> usages) {
        long now = EventLoop.nowMillis();
        for (RetryUsage usage : usages) {
            RetryPool pool = pools.get(usage.service());
            if (pool != null) {
                pool.record(host, usage, now);
            }
        }
    }

    /**
     * Returns the usage of the services with a pool.
     *
     * @param all whether to return those too where it has not changed since the last call
     */
    List<RetryUsage> takeReport(boolean all) {
        if (!isPooled()) {
            return List.of();
        }
        List<RetryUsage> changes = new ArrayList<>();
        for (ServiceName service : pools.keySet()) {
            RetryUsage usage = usage(service, EventLoop.nowMillis());
            if (!usage.equals(reported.put(service, usage)) || all) {
                changes.add(usage);
            }
        }
        return changes;
    }

    /** Returns whether there are enough edges to pool their retries. */
    boolean isPooled() {
        return hasManyEdges.getAsBoolean();
    }

    private boolean hasOwnLeft(ServiceName service, long now) {
        RetryPool pool = pools.get(service);
        boolean isShared = isPooled() && pool != null && pool.hasReports(now);
        return budget(service).hasLeft(now, ownReserve(), isShared ? RetryPool.OWN_SHARE : 1);
    }

    private boolean mayDraw(ServiceName service, long now) {
        RetryPool pool = pools.get(service);
        return isPooled()
                && pool != null
                && pool.mayDraw(
                        now,
                        settings.retryReserve(),
                        usage(service, now),
                        openStreamsShare.applyAsDouble(service));
    }

    private RetryUsage usage(ServiceName service, long now) {
        RetryBudget budget = budget(service);
        return new RetryUsage(service, budget.requests(now), budget.attempts(now));
    }

    /** Returns this edge's part of the retries that all edges share beside their requests. */
    private double ownReserve() {
        return settings.retryReserve() / edgeCount.getAsInt();
    }

    private RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(
                service, s -> new RetryBudget(settings.retryRatio(), settings.retryWindowMillis()));
    }
}
