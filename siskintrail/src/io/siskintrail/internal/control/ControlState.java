package io.siskintrail.internal.control;

import io.siskintrail.internal.ledger.LedgerState;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.replicated.ReplicatedState;

/**
 * All that the control log carries, composed of independent sections. A section is added by one
 * more case of {@link ControlCommand}, {@link ControlAnswer} and {@link ControlImage}.
 */
public final class ControlState
        implements ReplicatedState<ControlCommand, ControlAnswer, ControlImage> {
    private final ConfigurationState configuration = new ConfigurationState();
    private final LedgerState ledger = new LedgerState();

    @Override
    public ControlAnswer apply(LogPosition position, long atMillis, ControlCommand command) {
        if (command instanceof ControlCommand.ToLedger c) {
            return new ControlAnswer.FromLedger(ledger.apply(position, atMillis, c.command()));
        }
        ConfigurationCommand c = ((ControlCommand.ToConfiguration) command).command();
        return new ControlAnswer.FromConfiguration(configuration.apply(position, atMillis, c));
    }

    /** Returns the section of rules and hosts; to be read on the thread that applies commands. */
    public ConfigurationState configuration() {
        return configuration;
    }

    /** Returns the section of orders; to be read on the thread that applies commands. */
    public LedgerState ledger() {
        return ledger;
    }

    @Override
    public ControlImage image() {
        return new ControlImage(configuration.image(), ledger.image());
    }

    @Override
    public void restore(ControlImage image) {
        configuration.restore(image.configuration());
        ledger.restore(image.ledger());
    }
}
