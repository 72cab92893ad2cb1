package io.siskintrail.internal.rollout;

/**
 * The newest rollout of a service, as all registries hold it.
 *
 * @param order the order
 * @param number counts the rollouts of the service, from 1; tells a repeated command from a new one
 * @param orderedUnixMillis when a registry took the order, in Unix milliseconds of its clock
 * @param status whether the rollout runs, or how it ended
 */
public record RolloutRecord(
        RolloutOrder order, long number, long orderedUnixMillis, Status status) {

    /** Status of a rollout. The order of the constants is part of the stored form. */
    public enum Status {
        /** Traffic may move between the versions. */
        RUNNING,
        /** All traffic is at the new version. */
        COMPLETED,
        /** All traffic is at the old version again. */
        ROLLED_BACK
    }

    /** Returns whether the rollout has not ended. */
    public boolean isRunning() {
        return status == Status.RUNNING;
    }

    /** Returns a copy of this record with the status {@code next}. */
    public RolloutRecord with(Status next) {
        return new RolloutRecord(order, number, orderedUnixMillis, next);
    }

    /** Returns whether this record supersedes {@code other}, a record of the same service. */
    boolean isNewerThan(RolloutRecord other) {
        return number > other.number || number == other.number && other.isRunning() && !isRunning();
    }
}
