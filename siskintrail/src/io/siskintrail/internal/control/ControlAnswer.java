package io.siskintrail.internal.control;

import io.siskintrail.internal.ledger.LedgerAnswer;

/** Answers of {@link ControlState}, by the section that gave them. */
public sealed interface ControlAnswer {

    /**
     * Comes from the configuration.
     *
     * @param answer the answer
     */
    record FromConfiguration(ConfigurationAnswer answer) implements ControlAnswer {}

    /**
     * Comes from the ledger of orders.
     *
     * @param answer the answer
     */
    record FromLedger(LedgerAnswer answer) implements ControlAnswer {}
}
