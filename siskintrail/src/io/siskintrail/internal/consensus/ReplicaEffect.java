package io.siskintrail.internal.consensus;

import io.siskintrail.internal.replicated.LogPosition;
import java.util.List;

/** What a replica asks its shell to do. */
public sealed interface ReplicaEffect {

    /** Changes stored state; carried out in order and durable with the next {@link Sync}. */
    sealed interface Persist extends ReplicaEffect {}

    /** Stores the term and the vote. */
    record SaveHardState(HardState hardState) implements Persist {}

    /** Stores entries that follow the stored ones. */
    record AppendEntries(List<LogEntry> entries) implements Persist {}

    /** Removes the stored entries from {@code index} on. */
    record TruncateFrom(long index) implements Persist {}

    /**
     * Stores a snapshot.
     *
     * @param resetsLog whether the stored entries are removed, all of them
     */
    record SaveSnapshot(Snapshot snapshot, boolean resetsLog) implements Persist {}

    /** Allows stored entries up to {@code index} to be removed. */
    record CompactTo(long index) implements Persist {}

    /** Makes everything before it durable, then answers with {@link ReplicaInput.Synced}. */
    record Sync(long number) implements ReplicaEffect {}

    /** Sends a message. */
    record Send(ReplicaId to, ConsensusMessage message) implements ReplicaEffect {}

    /** Applies committed entries, the next ones in order. */
    record Commit(List<LogEntry> entries) implements ReplicaEffect {}

    /** Replaces the applied state by the image of a snapshot. */
    record Restore(Snapshot snapshot) implements ReplicaEffect {}

    /** Tells where a proposal stands; it is lost when another entry is committed there. */
    record Proposed(long token, LogPosition position) implements ReplicaEffect {}

    /**
     * Tells that a proposal was not appended.
     *
     * @param leader the replica to ask, null when unknown
     */
    record ProposalRefused(long token, ReplicaId leader) implements ReplicaEffect {}

    /** Allows a read once the entry at {@code index} is applied. */
    record ReadReady(long token, long index) implements ReplicaEffect {}

    /** Refuses a read; {@code leader} is the replica to ask, null when unknown. */
    record ReadRefused(long token, ReplicaId leader) implements ReplicaEffect {}

    /**
     * Tells of a new role, term or leader.
     *
     * @param leader null when unknown
     */
    record RoleChanged(Role role, long term, ReplicaId leader) implements ReplicaEffect {}
}
