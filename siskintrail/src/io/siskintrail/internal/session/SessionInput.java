package io.siskintrail.internal.session;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.lib.HostId;

/** What the session of a client is told. */
public sealed interface SessionInput {

    /** Time has passed. */
    record Tick() implements SessionInput {}

    /** A command to propose; {@code token} names it in the effects. */
    record Submit(long token, Payload command) implements SessionInput {}

    /** A session was opened; {@code nonce} is the random number that was sent. */
    record Opened(long nonce, long client) implements SessionInput {}

    /** The state answered. */
    record Answered(long client, long number, Payload answer) implements SessionInput {}

    /** A replica does not lead; {@code leader} is null when it knows none. */
    record NotLeader(HostId from, HostId leader) implements SessionInput {}

    /** A command is over the size limit of the log. */
    record TooLarge(long client, long number) implements SessionInput {}

    /** The session is no longer known. */
    record Forgotten(long client, long number) implements SessionInput {}
}
