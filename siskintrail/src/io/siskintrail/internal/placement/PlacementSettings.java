package io.siskintrail.internal.placement;

/**
 * Times and limits of placement.
 *
 * @param maxLoads the most engines that fetch weights from the weight store at once
 * @param loadGapMillis the shortest time between two starts of such loads
 * @param loadMillis the longest time that a load takes; one of an engine that is out of reach
 *     counts for so long
 * @param settleMillis the longest time that an order of an earlier leader can be on its way
 * @param gatherMillis the time in which every live engine reports at least once
 * @param resendMillis the time after which an order that shows no effect is given again
 * @param reportMillis the age at which a report no longer counts
 */
public record PlacementSettings(
        int maxLoads,
        long loadGapMillis,
        long loadMillis,
        long settleMillis,
        long gatherMillis,
        long resendMillis,
        long reportMillis) {
    /** What control uses when its settings say nothing else. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(4, 2_000, 600_000, 3_000, 2_000, 10_000, 6_000);
}
