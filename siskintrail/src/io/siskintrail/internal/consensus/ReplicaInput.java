package io.siskintrail.internal.consensus;

import java.util.List;

/** What a replica is told. */
public sealed interface ReplicaInput {

    /** Time has passed; to be given a few times in each heartbeat interval. */
    record Tick() implements ReplicaInput {}

    /** A message has come. */
    record Received(ReplicaId from, ConsensusMessage message) implements ReplicaInput {}

    /** Everything up to {@link ReplicaEffect.Sync} {@code number} is durable. */
    record Synced(long number) implements ReplicaInput {}

    /**
     * A command to append.
     *
     * @param token names the proposal in the effects about it
     */
    record Proposal(long token, Payload command) {}

    /** Commands to append together, stamped with {@code wallMillis} at the earliest. */
    record Propose(List<Proposal> proposals, long wallMillis) implements ReplicaInput {

        /** Copies the proposals. */
        public Propose {
            proposals = List.copyOf(proposals);
        }
    }

    /** Asks from which index on a local read is linearizable. */
    record Read(long token) implements ReplicaInput {}

    /** Begins a new log with {@code replicas}; ignored unless this replica is pristine. */
    record Form(ReplicaSet replicas) implements ReplicaInput {}

    /** Asks for one change of the replica set. */
    record ChangeReplicas(ReplicaChange change) implements ReplicaInput {}

    /** Asks a leader to hand over to the most advanced voter. */
    record TransferLeadership() implements ReplicaInput {}

    /** Gives the encoded state as of the applied entry at {@code index}. */
    record SnapshotTaken(long index, Payload image) implements ReplicaInput {}
}
