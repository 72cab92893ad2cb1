package io.siskintrail.internal.ledger;

import io.siskintrail.lib.EndpointId;

/**
 * What the ledger knows of one order.
 *
 * @param key the order
 * @param claim the claim that holds it or held it last
 * @param digest the digest of its content
 * @param state how far it has come
 * @param endpoint where it was dispatched to; null while claimed
 * @param attempt the number of the last dispatch; 0 while claimed
 * @param answer the answer; null unless done
 * @param retentionMillis how long the record is kept once done or unknown
 * @param deadlineMillis leader time at which the state ends by itself: a claim is void, a dispatch
 *     becomes unknown, a done or unknown record is forgotten
 */
public record OrderRecord(
        OrderKey key,
        ClaimId claim,
        ContentDigest digest,
        OrderState state,
        EndpointId endpoint,
        int attempt,
        StoredAnswer answer,
        long retentionMillis,
        long deadlineMillis) {

    OrderRecord dispatched(EndpointId to, int number, long deadline) {
        return new OrderRecord(
                key,
                claim,
                digest,
                OrderState.DISPATCHED,
                to,
                number,
                null,
                retentionMillis,
                deadline);
    }

    OrderRecord ended(OrderState end, StoredAnswer result, long deadline) {
        return new OrderRecord(
                key, claim, digest, end, endpoint, attempt, result, retentionMillis, deadline);
    }

    /** Returns whether a router still works on the order. */
    boolean isOpen() {
        return state == OrderState.CLAIMED || state == OrderState.DISPATCHED;
    }

    int answerBytes() {
        return answer == null ? 0 : answer.body().length;
    }
}
