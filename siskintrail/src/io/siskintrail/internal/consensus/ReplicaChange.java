package io.siskintrail.internal.consensus;

/** One change of the replica set. */
public sealed interface ReplicaChange {

    /** Returns the replica that is added, promoted or removed. */
    ReplicaId replica();

    /** Adds a learner. */
    record AddLearner(ReplicaId replica) implements ReplicaChange {}

    /** Makes a learner that has caught up a voter. */
    record Promote(ReplicaId replica) implements ReplicaChange {}

    /** Removes a voter or a learner. */
    record Remove(ReplicaId replica) implements ReplicaChange {}
}
