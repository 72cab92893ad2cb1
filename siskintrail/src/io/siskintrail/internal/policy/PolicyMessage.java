package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Rank;
import java.util.List;

/**
 * Message between the dispatchers of different routers. Each message carries absolute values, not
 * differences, except for the suspensions that a {@link Grant} requests.
 */
public sealed interface PolicyMessage {

    /**
     * Cumulative usage of the accounts on one router.
     *
     * @param incarnation increases with each restart of the sender
     * @param sequence increases with each message of one incarnation
     * @param entries usage of the accounts whose usage changed or that have requests in flight
     */
    record Usage(long incarnation, long sequence, List<UsageEntry> entries)
            implements PolicyMessage {

        /** Copies the list. */
        public Usage {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Usage of one account and rank on one router.
     *
     * @param account the client account
     * @param rank the rank
     * @param servedCost cost charged since the sender started, in output tokens
     * @param requests requests admitted since the sender started
     * @param inFlight requests waiting or running at the sender
     * @param waiting requests waiting at the sender
     */
    record UsageEntry(
            AccountId account,
            Rank rank,
            double servedCost,
            long requests,
            int inFlight,
            int waiting) {}

    /**
     * Held slots and waiting work of a router in a pool, sent to the coordinator of the pool.
     *
     * @param pool the pool of endpoints
     * @param sequence increases with each claim of the sender on the pool
     * @param appliedGrant sequence of the last grant that the sender applied from the receiver; 0
     *     before the first one
     * @param bulkLimit maximum number of bulk generations that the sender may run, as recorded by
     *     the sender; 0 without a valid lease
     * @param suspendable generations that the sender could suspend now
     * @param suspending generations that the sender is suspending
     * @param heldSlots slots that the sender holds, by endpoint
     * @param waitingWork the waiting work in the order in which the sender would start it
     */
    record Claim(
            String pool,
            long sequence,
            long appliedGrant,
            int bulkLimit,
            SuspensionCounts suspendable,
            int suspending,
            List<HeldSlots> heldSlots,
            List<WaitingWork> waitingWork)
            implements PolicyMessage {

        /** Copies the lists. */
        public Claim {
            heldSlots = List.copyOf(heldSlots);
            waitingWork = List.copyOf(waitingWork);
        }
    }

    /**
     * Slots of one endpoint that a router holds.
     *
     * @param endpoint the endpoint
     * @param granted slots that the router may use
     * @param urgent slots in use by urgent work
     * @param bulk slots in use by bulk work
     */
    record HeldSlots(EndpointId endpoint, int granted, int urgent, int bulk) {

        /** Returns the slots in use. */
        public int running() {
            return urgent + bulk;
        }
    }

    /**
     * Waiting requests of one account.
     *
     * @param rank the rank
     * @param account the client account
     * @param target the model or service that the first of the waiting requests needs
     * @param count number of waiting requests
     * @param preferredEndpoint endpoint with the lowest estimated cost for the first of the waiting
     *     requests, or null when none is preferred
     */
    record WaitingWork(
            Rank rank, AccountId account, Target target, int count, EndpointId preferredEndpoint) {}

    /**
     * Lease of a router on slots of a pool.
     *
     * @param pool the pool of endpoints
     * @param sequence increases with each grant of the coordinator to the receiver
     * @param acknowledgedClaim sequence of the last claim of the receiver that the coordinator has
     *     applied
     * @param leaseMillis duration of the lease, from the time at which the receiver sent the
     *     acknowledged claim
     * @param slots all slots that the receiver may use; none on endpoints without an entry
     * @param bulkLimit maximum number of slots that the receiver may use for bulk work
     * @param state state of the whole pool
     * @param requestedSuspensions number of generations that the receiver has to suspend in
     *     addition to those requested by earlier grants, by kind
     */
    record Grant(
            String pool,
            long sequence,
            long acknowledgedClaim,
            int leaseMillis,
            List<GrantedSlots> slots,
            int bulkLimit,
            PoolState state,
            SuspensionCounts requestedSuspensions)
            implements PolicyMessage {

        /** Copies the list. */
        public Grant {
            slots = List.copyOf(slots);
        }
    }

    /**
     * Slots of one endpoint that a router may use.
     *
     * @param endpoint the endpoint
     * @param count number of slots
     */
    record GrantedSlots(EndpointId endpoint, int count) {}

    /**
     * State of a pool as its coordinator knows it.
     *
     * @param slots slots of all endpoints
     * @param urgentRunning slots in use by urgent work
     * @param bulkRunning slots in use by bulk work
     * @param urgentOnlyHeadroomLeft whether only the slots of {@link PolicyRules#shareHeadroom()}
     *     are left to urgent work, so that accounts over their share may start urgent work only on
     *     slots granted for waiting work
     * @param bulkOnlyHeadroomLeft the same as urgentOnlyHeadroomLeft, for bulk work
     * @param nextUrgentAccount account with the least counter whose urgent work waits on other
     *     routers; null when no such work waits
     * @param nextBulkAccount account with the least counter whose bulk work waits on other routers;
     *     null when no such work waits
     */
    record PoolState(
            int slots,
            int urgentRunning,
            int bulkRunning,
            boolean urgentOnlyHeadroomLeft,
            boolean bulkOnlyHeadroomLeft,
            AccountId nextUrgentAccount,
            AccountId nextBulkAccount) {}
}
