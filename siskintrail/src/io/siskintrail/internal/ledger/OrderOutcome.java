package io.siskintrail.internal.ledger;

import io.siskintrail.lib.ResultCode;

/** What a caller is told of its order. */
public sealed interface OrderOutcome {

    /**
     * The order ran; here is the answer of the endpoint.
     *
     * @param answer the answer, the same for every repeat
     * @param replayed whether it comes from the record
     */
    record Answered(StoredAnswer answer, boolean replayed) implements OrderOutcome {}

    /**
     * The order did not run and will not run for this request.
     *
     * @param code why
     */
    record NotRun(ResultCode code) implements OrderOutcome {}

    /** The order may or may not have run and is never sent again under this key. */
    record Unknown() implements OrderOutcome {}

    /** The order is being worked on; the same key can be asked again later. */
    record InProgress() implements OrderOutcome {}

    /** The key belongs to an order with other content; nothing was done. */
    record KeyReused() implements OrderOutcome {}

    /** The ledger did not say in time whether the order ran before; nothing was sent now. */
    record Unavailable() implements OrderOutcome {}
}
