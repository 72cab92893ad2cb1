package io.siskintrail.router.internal.order;

import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.ledger.LedgerAnswer;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.control.ControlClient;
import java.util.function.Consumer;

/** Proposes commands of the ledger to the control log. */
final class LedgerClient {
    private static final System.Logger LOG = System.getLogger(LedgerClient.class.getName());

    private final ControlClient control;
    private final ControlStateCodec codec = new ControlStateCodec();

    LedgerClient(ControlClient control) {
        this.control = control;
    }

    /**
     * Proposes {@code command}.
     *
     * @param onAnswer called once, on any thread, with the committed answer, or with null when the
     *     proposal failed or its outcome is not known
     */
    void propose(LedgerCommand command, Consumer<LedgerAnswer> onAnswer) {
        byte[] bytes = codec.encodeCommand(new ControlCommand.ToLedger(command));
        control.propose(bytes)
                .whenComplete(
                        (answer, error) -> {
                            if (error != null) {
                                LogEvent.debug(LOG, "ledger.proposal.failed")
                                        .with("cause", error.getMessage())
                                        .write();
                                onAnswer.accept(null);
                                return;
                            }
                            ControlAnswer decoded = codec.decodeAnswer(answer);
                            onAnswer.accept(((ControlAnswer.FromLedger) decoded).answer());
                        });
    }
}
