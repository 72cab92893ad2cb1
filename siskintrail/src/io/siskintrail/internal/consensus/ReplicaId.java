package io.siskintrail.internal.consensus;

import io.siskintrail.lib.HostId;

/**
 * Names a replica: a host together with the disk that holds its state. A host whose disk was lost
 * comes back as another replica, so that votes and acknowledgements that went with the disk are
 * never counted again.
 *
 * @param host the host
 * @param disk the number that the data folder got when it was formatted
 */
public record ReplicaId(HostId host, long disk) implements Comparable<ReplicaId> {

    @Override
    public int compareTo(ReplicaId other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Long.compare(disk, other.disk);
    }

    /** Returns {@code host:disk}, the disk in hexadecimal. */
    @Override
    public String toString() {
        return host + ":" + Long.toHexString(disk);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ReplicaId that && disk == that.disk && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return host.hashCode() ^ Long.hashCode(disk);
    }
}
