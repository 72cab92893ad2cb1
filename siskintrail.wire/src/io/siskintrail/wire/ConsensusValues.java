package io.siskintrail.wire;

import io.siskintrail.internal.consensus.EntryBody;
import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.ReplicaId;
import io.siskintrail.internal.consensus.ReplicaSet;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.gen.consensus.EntryData;
import io.siskintrail.wire.gen.consensus.HardStateData;
import io.siskintrail.wire.gen.consensus.PositionData;
import io.siskintrail.wire.gen.consensus.ReplicaIdData;
import io.siskintrail.wire.gen.consensus.ReplicaSetData;
import io.siskintrail.wire.gen.consensus.SnapshotData;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Converts the values of the replicated log to their Thrift form and back. */
final class ConsensusValues {

    private ConsensusValues() {}

    static PositionData data(LogPosition position) {
        return new PositionData(position.term(), position.index());
    }

    static LogPosition value(PositionData data) {
        return new LogPosition(data.getTerm(), data.getIndex());
    }

    static ReplicaIdData data(ReplicaId id) {
        return new ReplicaIdData(id.host().value(), id.disk());
    }

    static ReplicaId value(ReplicaIdData data) {
        return new ReplicaId(new HostId(data.getHost()), data.getDisk());
    }

    static ReplicaSetData data(ReplicaSet set) {
        return new ReplicaSetData(list(set.voters()), list(set.learners()));
    }

    static ReplicaSet value(ReplicaSetData data) {
        TreeSet<ReplicaId> voters = new TreeSet<>();
        data.getVoters().forEach(d -> voters.add(value(d)));
        TreeSet<ReplicaId> learners = new TreeSet<>();
        data.getLearners().forEach(d -> learners.add(value(d)));
        return new ReplicaSet(voters, learners);
    }

    static EntryData data(LogEntry entry) {
        EntryData data = new EntryData(entry.term(), entry.index(), entry.atMillis());
        if (entry.body() instanceof EntryBody.Command c) {
            data.setCommand(buffer(c.payload()));
        } else if (entry.body() instanceof EntryBody.Reconfiguration r) {
            data.setReplicas(data(r.replicas()));
        }
        return data;
    }

    static LogEntry value(EntryData data) {
        LogPosition position = new LogPosition(data.getTerm(), data.getIndex());
        return new LogEntry(position, data.getAtMillis(), body(data));
    }

    static HardStateData data(HardState state) {
        HardStateData data = new HardStateData(state.term());
        if (state.vote() != null) {
            data.setVote(data(state.vote()));
        }
        return data;
    }

    static HardState value(HardStateData data) {
        return new HardState(data.getTerm(), data.isSetVote() ? value(data.getVote()) : null);
    }

    static SnapshotData data(Snapshot s) {
        return new SnapshotData(
                data(s.position()), s.atMillis(), data(s.replicas()), buffer(s.image()));
    }

    static Snapshot value(SnapshotData data) {
        return new Snapshot(
                value(data.getPosition()),
                data.getAtMillis(),
                value(data.getReplicas()),
                Payload.wrap(data.getImage()));
    }

    static ByteBuffer buffer(Payload payload) {
        return ByteBuffer.wrap(payload.array());
    }

    private static EntryBody body(EntryData data) {
        if (data.isSetCommand()) {
            return new EntryBody.Command(Payload.wrap(data.getCommand()));
        }
        return data.isSetReplicas()
                ? new EntryBody.Reconfiguration(value(data.getReplicas()))
                : new EntryBody.TermStart();
    }

    private static List<ReplicaIdData> list(Collection<ReplicaId> ids) {
        List<ReplicaIdData> all = new ArrayList<>(ids.size());
        ids.forEach(id -> all.add(data(id)));
        return all;
    }
}
