package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;

/**
 * Combined state of the pools of one target, as this router knows it.
 *
 * @param slots slots of all endpoints
 * @param bulkRunning bulk generations on all routers
 * @param urgentOnlyHeadroomLeft whether only the headroom is left, so that accounts over their
 *     share may start urgent work only on slots granted for waiting work
 * @param bulkOnlyHeadroomLeft the same for bulk work
 * @param remoteUrgentAccount the next urgent account that waits on another router, or null
 * @param remoteBulkAccount the next bulk account that waits on another router, or null
 */
record PoolView(
        int slots,
        int bulkRunning,
        boolean urgentOnlyHeadroomLeft,
        boolean bulkOnlyHeadroomLeft,
        AccountId remoteUrgentAccount,
        AccountId remoteBulkAccount) {

    /** Returns the rank to start next, or null when no work waits. */
    static Rank nextRank(boolean urgentWaits, boolean bulkWaits, boolean bulkBelowFloor) {
        if (bulkWaits && bulkBelowFloor) {
            return Rank.BULK;
        }
        if (urgentWaits) {
            return Rank.URGENT;
        }
        return bulkWaits ? Rank.BULK : null;
    }

    boolean isOnlyHeadroomLeft(Rank rank) {
        return rank == Rank.URGENT ? urgentOnlyHeadroomLeft : bulkOnlyHeadroomLeft;
    }

    AccountId remoteAccount(Rank rank) {
        return rank == Rank.URGENT ? remoteUrgentAccount : remoteBulkAccount;
    }
}
