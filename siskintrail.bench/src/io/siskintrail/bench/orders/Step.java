package io.siskintrail.bench.orders;

/** Where an order stands when the fault strikes. */
enum Step {
    /** The claim is about to be proposed. */
    CLAIM_PROPOSED,
    /** The claim is committed; its answer is on the way. */
    CLAIM_COMMITTED,
    /** The dispatch is about to be proposed. */
    DISPATCH_PROPOSED,
    /** The dispatch is committed; its answer is on the way and no connection is open. */
    DISPATCH_COMMITTED,
    /** The request has reached the endpoint and has not run. */
    CALL_ARRIVED,
    /** The request has run and is not answered. */
    CALL_EXECUTED,
    /** The answer is about to be recorded. */
    ANSWER_PROPOSED,
    /** The answer is recorded; the caller is not told yet. */
    ANSWER_COMMITTED;

    /** Returns whether the fault strikes between the router and the control log. */
    boolean isControl() {
        return this != CALL_ARRIVED && this != CALL_EXECUTED;
    }
}
