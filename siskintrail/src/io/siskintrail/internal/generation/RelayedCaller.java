package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.HashSet;
import java.util.Set;

/** Caller of this router whose generation another router owns or is still being located. */
final class RelayedCaller {
    final long caller;
    final GenerationSpec spec;

    GenerationId generation;
    OwnerEpoch epoch;
    int offset;
    HostId owner;
    OwnerEpoch followedEpoch;
    long heardAt;
    long renewedAt;

    /** Time of the last relayed message, at first the time of creation. */
    long lastOwnerContactAt;

    boolean searching;
    long searchStartedAt;
    final Set<HostId> pendingCandidates = new HashSet<>();
    BuddyMessage.Located bestLocated;

    RelayedCaller(long caller, GenerationSpec spec, Position after, long now) {
        this.caller = caller;
        this.spec = spec;
        this.lastOwnerContactAt = now;
        if (after != null) {
            generation = after.generation();
            epoch = after.epoch();
            offset = after.offset();
        }
    }
}
