package io.siskintrail.internal.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import io.siskintrail.lib.HostId;

/**
 * The state of a host.
 *
 * @param id the host
 * @param incarnation raised by the host itself, at a start and to refute a suspicion
 * @param state what is held of this incarnation
 */
public record HostEntry(HostId id, long incarnation, HostState state) implements MemberEntry {
    private static final int FIXED_BYTES = 16;

    /** Returns whether this entry replaces {@code other}. */
    public boolean supersedes(HostEntry other) {
        return other == null
                || incarnation > other.incarnation
                || (incarnation == other.incarnation && state.compareTo(other.state) > 0);
    }

    @Override
    public String key() {
        return "h:" + id;
    }

    @Override
    public long fingerprint() {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(key())
                .putLong(incarnation)
                .putInt(state.ordinal())
                .getAsLong();
    }

    @Override
    public int sizeBytes() {
        return FIXED_BYTES + id.value().length();
    }
}
