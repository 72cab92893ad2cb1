package io.siskintrail.wire.control;

import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.session.NumberedCommand;
import io.siskintrail.lib.HostId;
import java.util.List;

/** A message between a host and a replica that serves it. */
public sealed interface ControlMessage {

    /** Proposes commands. */
    record Propose(List<NumberedCommand> commands) implements ControlMessage {}

    /** Tells that a session was opened. */
    record Opened(long nonce, long client) implements ControlMessage {}

    /** Brings the answer to a command. */
    record Answered(long client, long number, Payload answer) implements ControlMessage {}

    /** Refuses a command that is over the limit of one entry. */
    record TooLarge(long client, long number) implements ControlMessage {}

    /** Refuses a command of a session that is no longer known. */
    record Forgotten(long client, long number) implements ControlMessage {}

    /** Refuses commands because the sender does not lead; null when it knows no leader. */
    record NotLeader(HostId leader) implements ControlMessage {}

    /**
     * Asks for committed entries.
     *
     * @param after the last index that the asker has
     * @param imageIndex the index of the image that it is fetching, 0 when none
     * @param imageOffset how much of that image it has
     */
    record Follow(long after, long imageIndex, int imageOffset) implements ControlMessage {}

    /** Brings committed entries behind {@code after}. */
    record Followed(long after, List<LogEntry> entries) implements ControlMessage {}

    /** Brings a piece of an image, because the entries asked for are compacted. */
    record ImageChunk(LogPosition position, int totalBytes, int offset, Payload data)
            implements ControlMessage {}
}
