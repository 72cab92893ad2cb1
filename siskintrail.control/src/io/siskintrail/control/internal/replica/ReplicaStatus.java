package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.consensus.ReplicaId;
import io.siskintrail.internal.consensus.ReplicaSet;
import io.siskintrail.internal.consensus.Role;

/**
 * What a replica shows of itself.
 *
 * @param id the replica
 * @param running false after a stop or a storage failure
 * @param role what it does in its term
 * @param term the latest term it knows
 * @param leader the leader of that term, null when unknown
 * @param replicas the replica set in use
 * @param settled whether that set is committed
 * @param commitIndex the highest index it knows to be committed
 * @param lastIndex the last index of its log
 */
public record ReplicaStatus(
        ReplicaId id,
        boolean running,
        Role role,
        long term,
        ReplicaId leader,
        ReplicaSet replicas,
        boolean settled,
        long commitIndex,
        long lastIndex) {}
