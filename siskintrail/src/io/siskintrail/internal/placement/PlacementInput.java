package io.siskintrail.internal.placement;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.rules.Rule.PlacementRule;
import java.util.List;

/** An input of the placement controller. */
public sealed interface PlacementInput {

    /** Time has passed; the controller plans and returns the orders that are due. */
    record Tick() implements PlacementInput {}

    /**
     * This replica is the leader.
     *
     * @param fencingToken the log position of the first entry of the leader's term
     * @param leaseUntilMillis the monotonic time in milliseconds from which another replica may
     *     lead
     */
    record Leading(LogPosition fencingToken, long leaseUntilMillis) implements PlacementInput {}

    /** This replica is not the leader. */
    record NotLeading() implements PlacementInput {}

    /** The placement rules that are now in force. */
    record Rules(List<PlacementRule> placements) implements PlacementInput {

        /** Copies the rules. */
        public Rules {
            placements = List.copyOf(placements);
        }
    }

    /** An engine reported its state on request. */
    record Reported(EngineReport report) implements PlacementInput {}
}
