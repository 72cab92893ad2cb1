package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.consensus.ReplicaSettings;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.ArrayList;
import java.util.List;

/**
 * What a replica has to know of its deployment.
 *
 * @param self the host of this replica
 * @param others the other hosts with a disk, spares included
 * @param first the hosts whose replicas begin a new log; their number is that of the voters
 * @param settings times and sizes of the log
 * @param lostAfterMillis the silence after which a replica is replaced
 * @param snapshotEntries the entries between two snapshots
 */
public record ReplicaPlan(
        HostInfo self,
        List<HostInfo> others,
        List<HostId> first,
        ReplicaSettings settings,
        long lostAfterMillis,
        int snapshotEntries) {
    private static final long DEFAULT_LOST_AFTER_MILLIS = 10_000;
    private static final int DEFAULT_SNAPSHOT_ENTRIES = 20_000;

    /** Copies the lists. */
    public ReplicaPlan {
        others = List.copyOf(others);
        first = List.copyOf(first);
    }

    /** Returns a plan with the usual times and sizes. */
    public static ReplicaPlan of(HostInfo self, List<HostInfo> others, List<HostId> first) {
        return new ReplicaPlan(
                self,
                others,
                first,
                ReplicaSettings.DEFAULT,
                DEFAULT_LOST_AFTER_MILLIS,
                DEFAULT_SNAPSHOT_ENTRIES);
    }

    /** Returns all hosts with a disk. */
    public List<HostId> hosts() {
        List<HostId> all = new ArrayList<>();
        all.add(self.id());
        others.forEach(o -> all.add(o.id()));
        return all;
    }
}
