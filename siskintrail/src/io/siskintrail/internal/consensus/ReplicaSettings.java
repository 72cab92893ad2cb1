package io.siskintrail.internal.consensus;

/**
 * Times and sizes of a replica.
 *
 * @param heartbeatMillis time between messages of an idle leader
 * @param electionMillis shortest silence of the leader after which a replica campaigns; the longest
 *     is twice that
 * @param leaseMillis how long after a message that a majority acknowledged the leader may act
 *     alone; shorter than {@code electionMillis} by more than the clocks of two hosts can drift in
 *     that time
 * @param maxBatchEntries the most entries in one message
 * @param maxBatchBytes the most payload bytes in one message, passed by a single larger entry only;
 *     four times as many can be on the way to one replica
 * @param windowEntries the most entries on the way to one replica
 * @param chunkBytes the size of a piece of a snapshot
 * @param keepEntries the most entries that stay in the log behind a snapshot for slow replicas
 * @param keepBytes the most payload bytes of these; a replica that lacks more gets the snapshot
 * @param maxUncommittedBytes payload bytes behind the last committed entry from which on a leader
 *     refuses proposals; a single larger one is taken when nothing else waits
 */
public record ReplicaSettings(
        long heartbeatMillis,
        long electionMillis,
        long leaseMillis,
        int maxBatchEntries,
        int maxBatchBytes,
        int windowEntries,
        int chunkBytes,
        int keepEntries,
        long keepBytes,
        long maxUncommittedBytes) {
    private static final int KIB = 1024;

    /** What a replica uses when its settings say nothing else. */
    public static final ReplicaSettings DEFAULT =
            new ReplicaSettings(
                    100,
                    1_000,
                    800,
                    512,
                    1024 * KIB,
                    4096,
                    256 * KIB,
                    4096,
                    32L * 1024 * KIB,
                    64L * 1024 * KIB);

    /** Checks the order of the times. */
    public ReplicaSettings {
        if (heartbeatMillis < 1 || electionMillis <= heartbeatMillis) {
            throw new IllegalArgumentException("electionMillis must exceed heartbeatMillis");
        }
        if (leaseMillis >= electionMillis) {
            throw new IllegalArgumentException("leaseMillis must be below electionMillis");
        }
    }
}
