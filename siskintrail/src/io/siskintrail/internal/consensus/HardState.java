package io.siskintrail.internal.consensus;

/**
 * What a replica must not forget about elections.
 *
 * @param term the latest term seen
 * @param vote the replica voted for in that term, null when none
 */
public record HardState(long term, ReplicaId vote) {
    /** Before the first term. */
    public static final HardState INITIAL = new HardState(0, null);
}
