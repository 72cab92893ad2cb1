package io.siskintrail.internal.placement;

/**
 * Timeouts and limits of the placement controller.
 *
 * @param maxLoads the maximum number of engines that fetch weights from the weight store at the
 *     same time
 * @param loadGapMillis the minimum time between the starts of two such loads
 * @param loadMillis the maximum duration of a load; a load on an unreachable engine counts against
 *     the limit for this time
 * @param settleMillis the maximum time that an order of an earlier leader can be in transit
 * @param gatherMillis the time within which every live engine reports at least once
 * @param resendMillis the time after which an order without visible effect is sent again
 * @param reportMillis the age beyond which a report is discarded
 */
public record PlacementSettings(
        int maxLoads,
        long loadGapMillis,
        long loadMillis,
        long settleMillis,
        long gatherMillis,
        long resendMillis,
        long reportMillis) {
    /** The defaults that the control process uses unless its settings override them. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(4, 2_000, 600_000, 3_000, 2_000, 10_000, 6_000);
}
