package io.siskintrail.internal.placement;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.rules.Rule.PlacementRule;
import java.util.List;

/** What the placement controller is told. */
public sealed interface PlacementInput {

    /** Time has passed. */
    record Tick() implements PlacementInput {}

    /**
     * This replica leads.
     *
     * @param fence the position of the first entry of its term
     * @param leaseUntilMillis the first moment at which another replica may lead
     */
    record Leading(LogPosition fence, long leaseUntilMillis) implements PlacementInput {}

    /** This replica does not lead. */
    record NotLeading() implements PlacementInput {}

    /** The placement rules in force. */
    record Rules(List<PlacementRule> placements) implements PlacementInput {

        /** Copies the rules. */
        public Rules {
            placements = List.copyOf(placements);
        }
    }

    /** An engine was asked for its state and answered. */
    record Reported(EngineReport report) implements PlacementInput {}
}
