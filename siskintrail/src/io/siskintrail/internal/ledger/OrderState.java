package io.siskintrail.internal.ledger;

/** How far an order has come. */
public enum OrderState {
    /** A router holds the order; nothing has been sent. */
    CLAIMED,
    /** The router that holds the order may have sent it. */
    DISPATCHED,
    /** The endpoint answered. */
    DONE,
    /** The order may or may not have run; it is never sent again. */
    UNKNOWN
}
