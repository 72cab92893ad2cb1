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
 * Keeps the engines as the placement rules want them, while this replica leads. A new leader first
 * lets orders of its predecessor settle, then reads the state of all engines, and only then orders.
 * Loads of weights share one budget, so the loss of a failure domain starts no more at once than
 * any other day.
 */
public final class PlacementController implements StateMachine<PlacementInput, EngineOrder> {
    private final PlacementSettings settings;
    private final Map<EndpointId, Seen> engines = new TreeMap<>();
    private final Map<EndpointId, Given> given = new TreeMap<>();
    private final Map<EndpointId, Long> loadsUntil = new TreeMap<>();
    private List<PlacementRule> placements = List.of();
    private LogPosition fence;
    private long leaseUntilMillis;
    private long readFromMillis;
    private long lastLoadMillis = Long.MIN_VALUE / 2;

    private record Seen(EngineReport report, long atMillis) {}

    private record Given(Target target, long atMillis) {}

    /** Makes a controller that does not lead. */
    public PlacementController(PlacementSettings settings) {
        this.settings = settings;
    }

    @Override
    public List<EngineOrder> step(long nowMillis, PlacementInput input) {
        if (input instanceof PlacementInput.Leading l) {
            lead(nowMillis, l);
        } else if (input instanceof PlacementInput.NotLeading) {
            fence = null;
        } else if (input instanceof PlacementInput.Rules r) {
            placements = r.placements();
        } else if (input instanceof PlacementInput.Reported r) {
            reported(nowMillis, r.report());
        } else if (input instanceof PlacementInput.Tick) {
            return orders(nowMillis);
        }
        return List.of();
    }

    private void lead(long now, PlacementInput.Leading input) {
        boolean lapsed = fence == null || now >= leaseUntilMillis;
        leaseUntilMillis = input.leaseUntilMillis();
        if (lapsed || !input.fence().equals(fence)) {
            fence = input.fence();
            readFromMillis = now + settings.settleMillis();
            lastLoadMillis = now;
            engines.clear();
            given.clear();
            loadsUntil.clear();
        }
    }

    private void reported(long now, EngineReport report) {
        if (fence == null || now < readFromMillis) {
            return;
        }
        engines.put(report.id(), new Seen(report, now));
        Given order = given.get(report.id());
        if (order != null && report.heading().equals(Optional.of(order.target()))) {
            given.remove(report.id());
        }
        countLoad(now, report);
    }

    /** Counts a load until its engine says that it is over, or until it must be over. */
    private void countLoad(long now, EngineReport report) {
        Optional<Target> loading = report.loading();
        if (loading.isPresent() && fetchesWeights(report, loading.get())) {
            loadsUntil.put(report.id(), now + settings.loadMillis());
        } else if (!given.containsKey(report.id())) {
            loadsUntil.remove(report.id());
        }
    }

    private List<EngineOrder> orders(long now) {
        boolean mayOrder =
                fence != null
                        && now < leaseUntilMillis
                        && now >= readFromMillis + settings.gatherMillis();
        if (!mayOrder) {
            return List.of();
        }
        engines.values().removeIf(s -> now - s.atMillis() > settings.reportMillis());
        List<EngineOrder> orders = new ArrayList<>();
        loadsUntil.values().removeIf(until -> now >= until);
        for (Map.Entry<EndpointId, Target> change : plan().entrySet()) {
            EndpointId id = change.getKey();
            Target target = change.getValue();
            if (!isDue(now, id)) {
                continue;
            }
            boolean fetches = fetchesWeights(engines.get(id).report(), target);
            if (fetches && !mayLoad(now, id)) {
                continue;
            }
            if (fetches) {
                lastLoadMillis = now;
                loadsUntil.put(id, now + settings.settleMillis() + settings.loadMillis());
            }
            given.put(id, new Given(target, now));
            orders.add(new EngineOrder(id, target, fence, leaseUntilMillis));
        }
        return orders;
    }

    /** Plans with engines that were given an order as if they had followed it. */
    private Map<EndpointId, Target> plan() {
        List<EngineReport> expected = new ArrayList<>();
        for (Seen seen : engines.values()) {
            EngineReport r = seen.report();
            Given order = given.get(r.id());
            expected.add(
                    order == null
                            ? r
                            : new EngineReport(
                                    r.id(), r.domain(), r.current(), Optional.of(order.target())));
        }
        Map<EndpointId, Target> changes = new PlacementPlanner(placements, expected).plan();
        given.forEach((id, order) -> changes.putIfAbsent(id, order.target()));
        changes.keySet().retainAll(engines.keySet());
        return changes;
    }

    private boolean isDue(long now, EndpointId id) {
        Given order = given.get(id);
        return order == null || now - order.atMillis() >= settings.resendMillis();
    }

    private boolean mayLoad(long now, EndpointId id) {
        boolean counted = loadsUntil.containsKey(id);
        boolean inBudget = counted || loadsUntil.size() < settings.maxLoads();
        return inBudget && now - lastLoadMillis >= settings.loadGapMillis();
    }

    private static boolean fetchesWeights(EngineReport engine, Target target) {
        return !engine.current().map(Target::model).equals(Optional.of(target.model()));
    }
}
