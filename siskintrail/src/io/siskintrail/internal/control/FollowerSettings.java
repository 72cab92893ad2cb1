package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;
import java.util.List;

/**
 * What {@link ConfigurationFollower} is set up with.
 *
 * @param self the host it runs on
 * @param controlHosts the control replicas known at start
 * @param firstNonce a random number; keeps answers to an earlier start of the host apart
 * @param askMillis time between two questions
 * @param fallbackMillis silence of the leader after which the other hosts are asked
 * @param validMillis for how long a confirmation allows new work, counted from its question
 */
public record FollowerSettings(
        HostId self,
        List<HostId> controlHosts,
        long firstNonce,
        long askMillis,
        long fallbackMillis,
        long validMillis) {
    private static final long DEFAULT_ASK_MILLIS = 400;
    private static final long DEFAULT_FALLBACK_MILLIS = 800;
    private static final long DEFAULT_VALID_MILLIS = 2_000;

    /** Copies the list. */
    public FollowerSettings {
        controlHosts = List.copyOf(controlHosts);
    }

    /** Returns settings with the default times. */
    public static FollowerSettings of(HostId self, List<HostId> controlHosts, long firstNonce) {
        return new FollowerSettings(
                self,
                controlHosts,
                firstNonce,
                DEFAULT_ASK_MILLIS,
                DEFAULT_FALLBACK_MILLIS,
                DEFAULT_VALID_MILLIS);
    }
}
