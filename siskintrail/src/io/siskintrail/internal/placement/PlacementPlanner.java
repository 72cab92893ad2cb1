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
 * Assigns engines to placement rules. Engines that already match a rule keep their assignment; then
 * the rule with the smallest filled share gets the next engine, preferably one that already holds
 * the model, then one from the failure domain with the fewest engines for this rule.
 */
final class PlacementPlanner {
    private final List<RuleFill> allRules = new ArrayList<>();
    private final Map<EndpointId, EngineReport> freeEngines = new TreeMap<>();
    private final Map<EndpointId, EngineAssignment> changes = new LinkedHashMap<>();

    /** A rule with the number of engines assigned to it. */
    private static final class RuleFill {
        private final PlacementRule rule;
        private final EngineAssignment assignment;
        private final Map<FailureDomain, Integer> enginesByDomain = new HashMap<>();
        private int assignedEngines;

        RuleFill(PlacementRule rule) {
            this.rule = rule;
            this.assignment = new EngineAssignment(rule.model(), rule.role());
        }

        boolean isFull() {
            return assignedEngines >= rule.replicas();
        }

        double filledShare() {
            return (double) assignedEngines / rule.replicas();
        }

        boolean allowsDomainOf(EngineReport engine) {
            return rule.domain().isEmpty() || rule.domain().get().equals(engine.domain());
        }

        int countInDomainOf(EngineReport engine) {
            return enginesByDomain.getOrDefault(engine.domain(), 0);
        }

        void assign(EngineReport engine) {
            assignedEngines++;
            enginesByDomain.merge(engine.domain(), 1, Integer::sum);
        }
    }

    /** Prepares a plan for {@code placements} with the engines that reported their state. */
    PlacementPlanner(List<PlacementRule> placements, Collection<EngineReport> engines) {
        placements.forEach(placement -> allRules.add(new RuleFill(placement)));
        engines.forEach(engine -> freeEngines.put(engine.id(), engine));
    }

    /** Returns the new assignments of the engines that have to change, most urgent first. */
    Map<EndpointId, EngineAssignment> plan() {
        allRules.forEach(this::keepMatching);
        List<RuleFill> unfilled = new ArrayList<>(allRules);
        while (!unfilled.isEmpty()) {
            unfilled.removeIf(RuleFill::isFull);
            Optional<RuleFill> neediest =
                    unfilled.stream().min(Comparator.comparing(RuleFill::filledShare));
            neediest.filter(fill -> !assignOne(fill)).ifPresent(unfilled::remove);
        }
        return changes;
    }

    private void keepMatching(RuleFill fill) {
        for (EngineReport engine : List.copyOf(freeEngines.values())) {
            boolean matches = engine.expectedAssignment().equals(Optional.of(fill.assignment));
            if (matches && fill.allowsDomainOf(engine) && !fill.isFull()) {
                fill.assign(engine);
                freeEngines.remove(engine.id());
            }
        }
    }

    /** Assigns the best free engine to the rule; returns false when no free engine qualifies. */
    private boolean assignOne(RuleFill fill) {
        Optional<EngineReport> best =
                freeEngines.values().stream()
                        .filter(fill::allowsDomainOf)
                        .min(
                                Comparator.comparing(
                                                (EngineReport engine) -> !holdsModel(engine, fill))
                                        .thenComparing(fill::countInDomainOf)
                                        .thenComparing(
                                                engine -> engine.expectedAssignment().isPresent())
                                        .thenComparing(EngineReport::id));
        if (best.isEmpty()) {
            return false;
        }
        fill.assign(best.get());
        freeEngines.remove(best.get().id());
        changes.put(best.get().id(), fill.assignment);
        return true;
    }

    private static boolean holdsModel(EngineReport engine, RuleFill fill) {
        return engine.expectedAssignment()
                .map(EngineAssignment::model)
                .equals(Optional.of(fill.assignment.model()));
    }
}
