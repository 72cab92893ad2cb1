package io.siskintrail.internal.consensus;

/**
 * What a leader knows of another replica.
 *
 * @param id the replica
 * @param voter whether it is a voter
 * @param silentMillis how long it has not answered
 * @param lag the entries it has not acknowledged
 */
public record ReplicaHealth(ReplicaId id, boolean voter, long silentMillis, long lag) {}
