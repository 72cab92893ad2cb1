package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Rank;
import java.util.List;

/** Messages between the dispatchers of different routers. Each carries absolute values. */
public sealed interface PolicyMessage {

    /**
     * What a router has served so far.
     *
     * @param incarnation differs after each restart of the sender
     * @param sequence grows with each message of one incarnation
     * @param entries the accounts that changed or are active
     */
    record Usage(long incarnation, long sequence, List<UsageEntry> entries)
            implements PolicyMessage {

        /** Copies the list. */
        public Usage {
            entries = List.copyOf(entries);
        }
    }

    /**
     * One account's use of one router.
     *
     * @param account the client account
     * @param rank the rank
     * @param service cost served since the sender started, in output tokens
     * @param requests requests admitted since the sender started
     * @param inFlight requests waiting or running at the sender
     * @param waiting requests waiting at the sender
     */
    record UsageEntry(
            AccountId account,
            Rank rank,
            double service,
            long requests,
            int inFlight,
            int waiting) {}

    /**
     * What a router holds and wants of a pool, sent to the coordinator of the pool.
     *
     * @param pool the pool of endpoints
     * @param sequence grows with each claim of the sender on the pool
     * @param appliedGrant sequence of the last grant of this coordinator that the sender applied
     * @param bulkLimit bulk generations that it may run, as far as it knows
     * @param suspendable generations that it could suspend now
     * @param suspending generations that it is suspending
     * @param held the slots it holds
     * @param waits the waiting work in the order in which the sender would start it
     */
    record Claim(
            String pool,
            long sequence,
            long appliedGrant,
            int bulkLimit,
            Suspensions suspendable,
            int suspending,
            List<HeldSlots> held,
            List<WaitingWork> waits)
            implements PolicyMessage {

        /** Copies the lists. */
        public Claim {
            held = List.copyOf(held);
            waits = List.copyOf(waits);
        }
    }

    /**
     * Slots of one endpoint that a router holds.
     *
     * @param endpoint the endpoint
     * @param granted slots it may use
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
     * @param target what the first of them needs
     * @param count how many there are
     * @param preferred where the first of them runs best, or null
     */
    record WaitingWork(
            Rank rank, AccountId account, Target target, int count, EndpointId preferred) {}

    /**
     * The lease of a router on slots of a pool.
     *
     * @param pool the pool of endpoints
     * @param sequence grows with each grant of the coordinator to the receiver
     * @param ackedClaim the last claim of the receiver that the coordinator has seen
     * @param leaseMillis how long the grant holds after that claim was sent
     * @param slots all slots that the receiver may use; {@code held} of a missing endpoint is zero
     * @param bulkLimit how many of them the receiver may use for bulk work
     * @param state how the whole pool stands
     * @param suspend how many generations the receiver is to suspend
     */
    record Grant(
            String pool,
            long sequence,
            long ackedClaim,
            int leaseMillis,
            List<GrantedSlots> slots,
            int bulkLimit,
            PoolState state,
            Suspensions suspend)
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
     * @param count how many
     */
    record GrantedSlots(EndpointId endpoint, int count) {}

    /**
     * How a pool stands, as its coordinator sees it.
     *
     * @param slots slots of all endpoints
     * @param urgentRunning slots in use by urgent work
     * @param bulkRunning slots in use by bulk work
     * @param urgentTight whether urgent work of accounts over their share may not reuse slots
     * @param bulkTight the same for bulk work
     * @param urgentWaiting the next urgent account at other routers, or null when none waits
     * @param bulkWaiting the next bulk account at other routers, or null when none waits
     */
    record PoolState(
            int slots,
            int urgentRunning,
            int bulkRunning,
            boolean urgentTight,
            boolean bulkTight,
            AccountId urgentWaiting,
            AccountId bulkWaiting) {}
}
