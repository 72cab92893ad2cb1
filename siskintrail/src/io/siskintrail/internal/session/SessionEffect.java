package io.siskintrail.internal.session;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import java.util.List;

/** What the session of a client asks for. */
public sealed interface SessionEffect {

    /** Proposes commands to a replica. */
    record Propose(HostId to, List<NumberedCommand> commands) implements SessionEffect {}

    /** Hands an answer over. */
    record Complete(long token, Payload answer) implements SessionEffect {}

    /** Gives a command up. */
    record Fail(long token, ResultCode code) implements SessionEffect {}
}
