package io.siskintrail.internal.consensus;

import io.siskintrail.internal.replicated.LogPosition;
import java.util.List;

/** A message between replicas. */
public sealed interface ConsensusMessage {

    /** Returns the term of the sender, or the term it asks for in a pre-vote. */
    long term();

    /**
     * Asks for a vote.
     *
     * @param preVote whether the sender only asks if it could win
     * @param last the last entry of the sender
     * @param transfer whether the leader handed over and voters need not wait for its lease
     */
    record VoteRequest(long term, boolean preVote, LogPosition last, boolean transfer)
            implements ConsensusMessage {}

    /** Answers a {@link VoteRequest}. */
    record VoteReply(long term, boolean preVote, boolean granted) implements ConsensusMessage {}

    /**
     * Replicates entries; without entries it is a heartbeat.
     *
     * @param previous the entry before the first of {@code entries}
     * @param commit the highest committed index that the leader knows
     * @param sentAt the leader's monotonic time, echoed in the reply
     */
    record AppendRequest(
            long term, LogPosition previous, List<LogEntry> entries, long commit, long sentAt)
            implements ConsensusMessage {

        /** Copies the entries. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an {@link AppendRequest}.
     *
     * @param success whether the previous entry matched
     * @param index the highest matching durable index, or the rejected previous index
     * @param hint the index that the leader may try next after a rejection
     */
    record AppendReply(long term, boolean success, long index, long hint, long sentAt)
            implements ConsensusMessage {}

    /**
     * Carries a piece of a snapshot; without data it is a heartbeat.
     *
     * @param snapshot the snapshot with an empty image
     * @param totalBytes the size of the whole image
     * @param offset where {@code data} belongs
     */
    record SnapshotChunk(
            long term, Snapshot snapshot, int totalBytes, int offset, Payload data, long sentAt)
            implements ConsensusMessage {}

    /**
     * Answers a {@link SnapshotChunk}.
     *
     * @param position the position of the snapshot
     * @param nextOffset how much of the image has arrived
     * @param installed whether the snapshot is durable
     */
    record SnapshotReply(
            long term, LogPosition position, int nextOffset, boolean installed, long sentAt)
            implements ConsensusMessage {}

    /** Tells a voter to campaign at once; the sender has stopped to lead. */
    record TimeoutNow(long term) implements ConsensusMessage {}
}
