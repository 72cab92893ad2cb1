package io.siskintrail.internal.generation;

import io.siskintrail.lib.HostId;

/**
 * Fencing token for one period in which one process owns a generation. A higher epoch fences all
 * lower ones.
 *
 * @param number grows with each change of the owner or of its buddy
 * @param owner the router that owns the generation
 * @param incarnation identifies the process on that host; a later process has a higher one
 */
public record OwnerEpoch(long number, HostId owner, long incarnation)
        implements Comparable<OwnerEpoch> {

    /** Returns the next epoch, with {@code by} as its owner. */
    OwnerEpoch next(HostId by, long byIncarnation) {
        return new OwnerEpoch(number + 1, by, byIncarnation);
    }

    /** Returns whether this epoch is higher than {@code other}. */
    boolean fences(OwnerEpoch other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(OwnerEpoch other) {
        int byNumber = Long.compare(number, other.number);
        if (byNumber != 0) {
            return byNumber;
        }
        int byOwner = owner.compareTo(other.owner);
        return byOwner != 0 ? byOwner : Long.compare(incarnation, other.incarnation);
    }
}
