package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import java.util.HashSet;
import java.util.Set;

/** A caller of this router whose generation another router owns, or that is still looked for. */
final class RelayedCaller {
    final long caller;
    final GenerationSpec spec;

    GenerationId generation;
    OwnerEpoch epoch;
    int offset;
    HostId owner;
    OwnerEpoch followed;
    long heardAt;
    long renewedAt;
    long searchingSince;

    boolean searching;
    long searchedAt;
    final Set<HostId> unanswered = new HashSet<>();
    BuddyMessage.Located found;

    RelayedCaller(long caller, GenerationSpec spec, Position after, long now) {
        this.caller = caller;
        this.spec = spec;
        this.searchingSince = now;
        if (after != null) {
            generation = after.generation();
            epoch = after.epoch();
            offset = after.offset();
        }
    }
}
