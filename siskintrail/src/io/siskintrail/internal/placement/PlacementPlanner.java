package io.siskintrail.internal.placement;

import io.siskintrail.internal.rules.Rule.PlacementRule;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Assigns engines to placement rules: engines that are already right stay, then the rule that lacks
 * the largest share gets the next engine, from the failure domain that has the fewest for it.
 */
final class PlacementPlanner {
    private final List<Slots> rules = new ArrayList<>();
    private final Map<EndpointId, EngineReport> free = new TreeMap<>();
    private final Map<EndpointId, Target> changes = new LinkedHashMap<>();

    /** A rule and the engines that it has. */
    private static final class Slots {
        private final PlacementRule rule;
        private final Target target;
        private final Map<FailureDomain, Integer> byDomain = new HashMap<>();
        private int filled;

        Slots(PlacementRule rule) {
            this.rule = rule;
            this.target = new Target(rule.model(), rule.role());
        }

        boolean isFull() {
            return filled >= rule.replicas();
        }

        double share() {
            return (double) filled / rule.replicas();
        }

        boolean takes(EngineReport engine) {
            return rule.domain().isEmpty() || rule.domain().get().equals(engine.domain());
        }

        int inDomainOf(EngineReport engine) {
            return byDomain.getOrDefault(engine.domain(), 0);
        }

        void fill(EngineReport engine) {
            filled++;
            byDomain.merge(engine.domain(), 1, Integer::sum);
        }
    }

    /** Prepares a plan for {@code placements} over the engines that are there. */
    PlacementPlanner(List<PlacementRule> placements, Collection<EngineReport> engines) {
        placements.forEach(p -> rules.add(new Slots(p)));
        engines.forEach(e -> free.put(e.id(), e));
    }

    /** Returns the engines that are to change, the most needed change first. */
    Map<EndpointId, Target> plan() {
        rules.forEach(this::keep);
        List<Slots> open = new ArrayList<>(rules);
        while (!open.isEmpty()) {
            open.removeIf(Slots::isFull);
            Optional<Slots> neediest = open.stream().min(Comparator.comparing(Slots::share));
            neediest.filter(s -> !fillOne(s)).ifPresent(open::remove);
        }
        return changes;
    }

    private void keep(Slots slots) {
        for (EngineReport engine : List.copyOf(free.values())) {
            boolean right = engine.heading().equals(Optional.of(slots.target));
            if (right && slots.takes(engine) && !slots.isFull()) {
                slots.fill(engine);
                free.remove(engine.id());
            }
        }
    }

    /** Takes the best free engine; returns false when there is none. */
    private boolean fillOne(Slots slots) {
        Optional<EngineReport> best =
                free.values().stream()
                        .filter(slots::takes)
                        .min(
                                Comparator.comparing((EngineReport e) -> !holdsModel(e, slots))
                                        .thenComparing(slots::inDomainOf)
                                        .thenComparing(e -> e.heading().isPresent())
                                        .thenComparing(EngineReport::id));
        if (best.isEmpty()) {
            return false;
        }
        slots.fill(best.get());
        free.remove(best.get().id());
        changes.put(best.get().id(), slots.target);
        return true;
    }

    private static boolean holdsModel(EngineReport engine, Slots slots) {
        return engine.heading().map(Target::model).equals(Optional.of(slots.target.model()));
    }
}
