package io.siskintrail.internal.consensus;

import io.siskintrail.internal.replicated.LogPosition;

/**
 * Stands for the log up to a position.
 *
 * @param position the last entry that the image contains
 * @param atMillis the time that entry was stamped with
 * @param replicas the replica set as of that entry
 * @param image the encoded state
 */
public record Snapshot(LogPosition position, long atMillis, ReplicaSet replicas, Payload image) {
    /** What a blank data folder starts from. */
    public static final Snapshot EMPTY =
            new Snapshot(LogPosition.ZERO, 0, ReplicaSet.NONE, Payload.EMPTY);

    /** Returns what the first replicas of a new log start from. */
    public static Snapshot initial(ReplicaSet replicas) {
        return new Snapshot(LogPosition.ZERO, 0, replicas, Payload.EMPTY);
    }
}
