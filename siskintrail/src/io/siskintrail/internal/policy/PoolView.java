package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;

/**
 * The pools of one target together, as this router knows them.
 *
 * @param slots slots of all endpoints
 * @param bulkRunning bulk generations on all routers
 * @param urgentTight whether accounts over their share may start urgent work on granted slots only
 * @param bulkTight the same for bulk work
 * @param urgentRival the next urgent account that waits on another router, or null
 * @param bulkRival the next bulk account that waits on another router, or null
 */
record PoolView(
        int slots,
        int bulkRunning,
        boolean urgentTight,
        boolean bulkTight,
        AccountId urgentRival,
        AccountId bulkRival) {

    /** Returns which rank is to be started next, or null when none waits. */
    static Rank next(boolean urgentWaits, boolean bulkWaits, boolean bulkBelowFloor) {
        if (bulkWaits && bulkBelowFloor) {
            return Rank.BULK;
        }
        if (urgentWaits) {
            return Rank.URGENT;
        }
        return bulkWaits ? Rank.BULK : null;
    }

    boolean tight(Rank rank) {
        return rank == Rank.URGENT ? urgentTight : bulkTight;
    }

    AccountId rival(Rank rank) {
        return rank == Rank.URGENT ? urgentRival : bulkRival;
    }
}
