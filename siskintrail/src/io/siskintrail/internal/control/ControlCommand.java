package io.siskintrail.internal.control;

import io.siskintrail.internal.ledger.LedgerCommand;

/** Commands of the control log, by the section of {@link ControlState} that takes them. */
public sealed interface ControlCommand {

    /**
     * Goes to the configuration.
     *
     * @param command the command
     */
    record ToConfiguration(ConfigurationCommand command) implements ControlCommand {}

    /**
     * Goes to the ledger of orders.
     *
     * @param command the command
     */
    record ToLedger(LedgerCommand command) implements ControlCommand {}
}
