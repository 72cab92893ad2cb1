package io.siskintrail.wire;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.RecordCodec;
import io.siskintrail.internal.consensus.Snapshot;

/** Stores records in the form that they have on the wire. */
public final class ThriftRecordCodec implements RecordCodec {

    @Override
    public byte[] encode(LogEntry entry) {
        return ConsensusCodec.encode(entry);
    }

    @Override
    public LogEntry decodeEntry(byte[] bytes) {
        return ConsensusCodec.decodeEntry(bytes);
    }

    @Override
    public byte[] encode(HardState hardState) {
        return ConsensusCodec.encode(hardState);
    }

    @Override
    public HardState decodeHardState(byte[] bytes) {
        return ConsensusCodec.decodeHardState(bytes);
    }

    @Override
    public byte[] encode(Snapshot snapshot) {
        return ConsensusCodec.encode(snapshot);
    }

    @Override
    public Snapshot decodeSnapshot(byte[] bytes) {
        return ConsensusCodec.decodeSnapshot(bytes);
    }
}
