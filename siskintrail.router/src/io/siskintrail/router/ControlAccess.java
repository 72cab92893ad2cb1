package io.siskintrail.router;

import io.siskintrail.internal.control.ControlState;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.rules.StandaloneRules;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.control.CommittedListener;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.ControlException;
import io.siskintrail.wire.control.LocalControlClient;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * How a router reaches the control state.
 *
 * @param client access to the control log
 * @param rules the rules in force
 */
public record ControlAccess(ControlClient client, RulesView rules) {

    /**
     * Returns access for a router alone in its deployment: a log in memory and no rules. The log is
     * lost with the process.
     */
    public static ControlAccess alone() {
        return new ControlAccess(
                new LocalControlClient<>(
                        new ControlState(), new ControlStateCodec(), System::currentTimeMillis),
                new StandaloneRules());
    }

    /**
     * Returns a client that refuses every proposal: orders are then told that it is unavailable.
     */
    static ControlClient unavailable() {
        return new Unavailable();
    }

    /** Refuses every proposal. */
    private static final class Unavailable implements ControlClient {
        @Override
        public CompletionStage<byte[]> propose(byte[] command) {
            return CompletableFuture.failedFuture(
                    new ControlException(
                            new Failure(
                                    ResultCode.CONTROL_UNAVAILABLE,
                                    "no client for the control log is connected")));
        }

        @Override
        public void follow(CommittedListener listener) {}
    }
}
