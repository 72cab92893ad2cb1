package io.siskintrail.internal.ledger;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;

/** Commands to the ledger. Each may be repeated, delayed and reordered on its way to the log. */
public sealed interface LedgerCommand {

    /**
     * Asks to hold an order; answered by what is known of it when it is held or ended.
     *
     * @param key the order
     * @param claim the id of the new claim
     * @param digest the digest of the content
     * @param retentionMillis how long the record is kept once the order has ended
     */
    record Claim(OrderKey key, ClaimId claim, ContentDigest digest, long retentionMillis)
            implements LedgerCommand {}

    /**
     * Announces a dispatch. With {@code attempt} above 1 the holder states that no earlier attempt
     * reached an endpoint.
     *
     * @param key the order
     * @param claim the claim that holds it
     * @param endpoint where the order is to go
     * @param attempt the number of the dispatch, from 1
     * @param answerMillis how long an answer may take before the order counts as unknown
     */
    record Dispatch(
            OrderKey key, ClaimId claim, EndpointId endpoint, int attempt, long answerMillis)
            implements LedgerCommand {}

    /**
     * Records the answer of an endpoint.
     *
     * @param key the order
     * @param claim the claim that dispatched it
     * @param attempt the attempt that was answered
     * @param answer the answer
     */
    record Complete(OrderKey key, ClaimId claim, int attempt, StoredAnswer answer)
            implements LedgerCommand {}

    /**
     * Records that a dispatch may have reached its endpoint and has no answer.
     *
     * @param key the order
     * @param claim the claim that dispatched it
     * @param attempt the attempt that broke
     */
    record MarkUnknown(OrderKey key, ClaimId claim, int attempt) implements LedgerCommand {}

    /**
     * Gives an order back. The holder states that no attempt up to {@code attempt} reached an
     * endpoint and that it will send nothing more under this claim.
     *
     * @param key the order
     * @param claim the claim to end
     * @param attempt the last attempt that the holder announced; 0 for none
     */
    record Release(OrderKey key, ClaimId claim, int attempt) implements LedgerCommand {}

    /**
     * Ends the open orders of earlier starts of a router: claims are void, dispatches unknown. Safe
     * also while that router still runs, because its later commands are refused.
     *
     * @param host the host of the router
     * @param currentBoot the start whose orders stay as they are; 0 for none
     */
    record SettleHost(HostId host, long currentBoot) implements LedgerCommand {}
}
