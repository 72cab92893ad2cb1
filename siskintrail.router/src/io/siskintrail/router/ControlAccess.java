package io.siskintrail.router;

import io.siskintrail.internal.control.ControlState;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.rules.StandaloneRules;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.LocalControlClient;

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
}
