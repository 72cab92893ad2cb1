package io.siskintrail.internal.placement;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.rules.Rule.PlacementRule;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keeps the engines in the state that the placement rules require, while this replica is the
 * leader. A new leader first waits until orders of its predecessor can no longer be in transit,
 * then reads the state of all engines, and only then sends orders. All loads of weights share one
 * budget, so the loss of a failure domain starts no more concurrent loads than normal operation.
 */
public final class PlacementController implements StateMachine<PlacementInput, EngineOrder> {
    private final PlacementSettings settings;
    private final Map<EndpointId, TimedReport> latestReports = new TreeMap<>();
    private final Map<EndpointId, PendingOrder> pendingOrders = new TreeMap<>();
    private final Map<EndpointId, Long> loadEndMillisByEngine = new TreeMap<>();
    private List<PlacementRule> placements = List.of();
    private LogPosition fencingToken;
    private long leaseUntilMillis;
    private long acceptReportsFromMillis;
    private long lastLoadMillis = Long.MIN_VALUE / 2;

    private record TimedReport(EngineReport report, long receivedMillis) {}

    private record PendingOrder(EngineAssignment assignment, long sentMillis) {}

    /** Creates a controller for a replica that is not the leader yet. */
    public PlacementController(PlacementSettings settings) {
        this.settings = settings;
    }

    @Override
    public List<EngineOrder> step(long nowMillis, PlacementInput input) {
        if (input instanceof PlacementInput.Leading leading) {
            startOrRenewLease(nowMillis, leading);
        } else if (input instanceof PlacementInput.NotLeading) {
            fencingToken = null;
        } else if (input instanceof PlacementInput.Rules rules) {
            placements = rules.placements();
        } else if (input instanceof PlacementInput.Reported reported) {
            recordReport(nowMillis, reported.report());
        } else if (input instanceof PlacementInput.Tick) {
            return createOrders(nowMillis);
        }
        return List.of();
    }

    private void startOrRenewLease(long nowMillis, PlacementInput.Leading input) {
        boolean leaseExpired = fencingToken == null || nowMillis >= leaseUntilMillis;
        leaseUntilMillis = input.leaseUntilMillis();
        if (leaseExpired || !input.fencingToken().equals(fencingToken)) {
            fencingToken = input.fencingToken();
            acceptReportsFromMillis = nowMillis + settings.settleMillis();
            lastLoadMillis = nowMillis;
            latestReports.clear();
            pendingOrders.clear();
            loadEndMillisByEngine.clear();
        }
    }

    private void recordReport(long nowMillis, EngineReport report) {
        if (fencingToken == null || nowMillis < acceptReportsFromMillis) {
            return;
        }
        latestReports.put(report.id(), new TimedReport(report, nowMillis));
        PendingOrder order = pendingOrders.get(report.id());
        if (order != null && report.expectedAssignment().equals(Optional.of(order.assignment()))) {
            pendingOrders.remove(report.id());
        }
        countLoad(nowMillis, report);
    }

    /**
     * Counts a load until its engine reports the end of the load or its maximum duration has
     * passed.
     */
    private void countLoad(long nowMillis, EngineReport report) {
        Optional<EngineAssignment> loading = report.loading();
        if (loading.isPresent() && fetchesWeights(report, loading.get())) {
            loadEndMillisByEngine.put(report.id(), nowMillis + settings.loadMillis());
        } else if (!pendingOrders.containsKey(report.id())) {
            loadEndMillisByEngine.remove(report.id());
        }
    }

    private List<EngineOrder> createOrders(long nowMillis) {
        boolean maySendOrders =
                fencingToken != null
                        && nowMillis < leaseUntilMillis
                        && nowMillis >= acceptReportsFromMillis + settings.gatherMillis();
        if (!maySendOrders) {
            return List.of();
        }
        latestReports
                .values()
                .removeIf(timed -> nowMillis - timed.receivedMillis() > settings.reportMillis());
        List<EngineOrder> orders = new ArrayList<>();
        loadEndMillisByEngine.values().removeIf(endMillis -> nowMillis >= endMillis);
        for (Map.Entry<EndpointId, EngineAssignment> change : plan().entrySet()) {
            EndpointId id = change.getKey();
            EngineAssignment assignment = change.getValue();
            if (!isOrderDue(nowMillis, id)) {
                continue;
            }
            boolean fetchesWeights = fetchesWeights(latestReports.get(id).report(), assignment);
            if (fetchesWeights && !mayStartLoad(nowMillis, id)) {
                continue;
            }
            if (fetchesWeights) {
                lastLoadMillis = nowMillis;
                loadEndMillisByEngine.put(
                        id, nowMillis + settings.settleMillis() + settings.loadMillis());
            }
            pendingOrders.put(id, new PendingOrder(assignment, nowMillis));
            orders.add(new EngineOrder(id, assignment, fencingToken, leaseUntilMillis));
        }
        return orders;
    }

    /** Plans as if every engine with a pending order had already executed the order. */
    private Map<EndpointId, EngineAssignment> plan() {
        List<EngineReport> expectedReports = new ArrayList<>();
        for (TimedReport timedReport : latestReports.values()) {
            EngineReport report = timedReport.report();
            PendingOrder order = pendingOrders.get(report.id());
            expectedReports.add(
                    order == null
                            ? report
                            : new EngineReport(
                                    report.id(),
                                    report.domain(),
                                    report.current(),
                                    Optional.of(order.assignment())));
        }
        Map<EndpointId, EngineAssignment> changes =
                new PlacementPlanner(placements, expectedReports).plan();
        pendingOrders.forEach((id, order) -> changes.putIfAbsent(id, order.assignment()));
        changes.keySet().retainAll(latestReports.keySet());
        return changes;
    }

    private boolean isOrderDue(long nowMillis, EndpointId id) {
        PendingOrder order = pendingOrders.get(id);
        return order == null || nowMillis - order.sentMillis() >= settings.resendMillis();
    }

    private boolean mayStartLoad(long nowMillis, EndpointId id) {
        boolean alreadyCounted = loadEndMillisByEngine.containsKey(id);
        boolean withinBudget = alreadyCounted || loadEndMillisByEngine.size() < settings.maxLoads();
        return withinBudget && nowMillis - lastLoadMillis >= settings.loadGapMillis();
    }

    private static boolean fetchesWeights(EngineReport engine, EngineAssignment assignment) {
        return !engine.current()
                .map(EngineAssignment::model)
                .equals(Optional.of(assignment.model()));
    }
}
