package io.siskintrail.internal.rollout;

import java.util.Map;

/**
 * What one host tells the leader about a rollout. All counts are cumulative since the host joined
 * the rollout, so a lost report is made good by the next one.
 *
 * @param host the name of the host
 * @param incarnation changes whenever the host restarts, upwards
 * @param sequence the number of the report; grows with every report of an incarnation
 * @param sentOld requests sent to the old version
 * @param sentNew requests sent to the new version
 * @param openOld streams, calls and copies of the host that are left at the old version
 * @param heldMax the value of {@code sentNew} that the held lease allows; {@code sentNew} without a
 *     valid lease
 * @param closing whether the host holds a valid closing lease and thus sends only to the new
 *     version
 * @param retired the largest {@link RolloutLease#retired} that the host received
 * @param counts the requests that ended, by cell
 * @param open the requests without an answer at the time of the report, by cell and by the time
 *     since they were sent; not cumulative
 */
public record RolloutReport(
        String host,
        long incarnation,
        long sequence,
        long sentOld,
        long sentNew,
        long openOld,
        long heldMax,
        boolean closing,
        long retired,
        Map<RolloutCell, RolloutCount> counts,
        Map<RolloutCell, RolloutCount> open) {
    /** Copies the maps. */
    public RolloutReport {
        counts = Map.copyOf(counts);
        open = Map.copyOf(open);
    }
}
