package io.siskintrail.router.internal.order;

import io.siskintrail.internal.ledger.StoredAnswer;

/** How a call of an endpoint ended. */
sealed interface CallResult {

    /**
     * The endpoint answered.
     *
     * @param answer the whole answer
     */
    record Answered(StoredAnswer answer) implements CallResult {}

    /**
     * The connection was not established, so nothing was sent.
     *
     * @param cause what was seen
     */
    record NotConnected(String cause) implements CallResult {}

    /**
     * The call ended without an answer after its connection was established.
     *
     * @param cause what was seen
     */
    record Broken(String cause) implements CallResult {}
}
