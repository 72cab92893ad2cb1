package io.siskintrail.internal.ledger;

/** Answers of the ledger to its commands. */
public sealed interface LedgerAnswer {

    /** The claim holds the order. */
    record Claimed() implements LedgerAnswer {}

    /**
     * Another claim holds the order.
     *
     * @param holder that claim
     * @param dispatched whether it may have been sent already
     */
    record Running(ClaimId holder, boolean dispatched) implements LedgerAnswer {}

    /**
     * The order ended with an answer.
     *
     * @param answer the recorded answer
     */
    record Done(StoredAnswer answer) implements LedgerAnswer {}

    /** The order may or may not have run and is never sent again. */
    record Unknown() implements LedgerAnswer {}

    /** The key belongs to an order with other content. */
    record OtherContent() implements LedgerAnswer {}

    /** The ledger holds as many records as it may. */
    record Full() implements LedgerAnswer {}

    /**
     * The dispatch is on record; the holder may send now.
     *
     * @param attempt the number of the dispatch
     */
    record Dispatched(int attempt) implements LedgerAnswer {}

    /** The command took effect, or had done so before. */
    record Accepted() implements LedgerAnswer {}

    /** The claim no longer holds the order, or the attempt is not the current one. */
    record Refused() implements LedgerAnswer {}
}
