package io.siskintrail.internal.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;

/**
 * The state of an endpoint.
 *
 * @param info what the endpoint last announced
 * @param home the router that it announces to
 * @param term raised whenever home or {@code gone} changes within an incarnation
 * @param gone whether its renewals have stopped
 */
public record EndpointEntry(EndpointInfo info, HostId home, long term, boolean gone)
        implements MemberEntry {
    private static final int FIXED_BYTES = 32;
    private static final int MODEL_BYTES = 24;

    /**
     * Returns whether this entry replaces {@code other}: a newer incarnation does; within one,
     * leaving beats anything else, then the higher term wins.
     */
    public boolean supersedes(EndpointEntry other) {
        if (other == null) {
            return true;
        }
        if (info.incarnation() != other.info.incarnation()) {
            return info.incarnation() > other.info.incarnation();
        }
        if (info.leaving() != other.info.leaving()) {
            return info.leaving();
        }
        if (term != other.term) {
            return term > other.term;
        }
        if (gone != other.gone) {
            return gone;
        }
        return home.compareTo(other.home) > 0;
    }

    /** Returns whether the endpoint neither leaves nor is gone. */
    public boolean isAlive() {
        return !gone && !info.leaving();
    }

    /** Returns this entry as gone, one term later. */
    EndpointEntry asGone() {
        return new EndpointEntry(info, home, term + 1, true);
    }

    @Override
    public String key() {
        return "e:" + info.id();
    }

    @Override
    public long fingerprint() {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(key())
                .putLong(info.incarnation())
                .putBoolean(info.leaving())
                .putLong(term)
                .putBoolean(gone)
                .putString(home.value())
                .getAsLong();
    }

    @Override
    public int sizeBytes() {
        int models = MODEL_BYTES * (info.models().size() + info.services().size());
        return FIXED_BYTES
                + models
                + info.id().value().length()
                + info.address().length()
                + info.domain().value().length()
                + home.value().length();
    }
}
