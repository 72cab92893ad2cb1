package io.siskintrail.bench.promises;

/** What must always hold. */
enum Promise {
    /** No token of an answer is missing and none repeated. */
    TOKENS,
    /** Two generations of one request are never mixed into one answer. */
    UNMIXED,
    /** Each caller gets the whole answer to its own request. */
    OWN_ANSWER,
    /** When a caller is told "not run", the request did not run. */
    NOT_RUN,
    /** An order runs at most once. */
    ORDER_ONCE,
    /** A leaving endpoint receives no new work after a few seconds. */
    LEAVING,
    /** A graceful shutdown cuts no request in flight. */
    GRACEFUL,
    /** Accepted rules are in force everywhere within seconds and never revert. */
    CONFIGURATION
}
