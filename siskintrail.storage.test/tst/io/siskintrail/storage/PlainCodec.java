package io.siskintrail.storage;

import io.siskintrail.internal.consensus.EntryBody;
import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.RecordCodec;
import io.siskintrail.internal.consensus.ReplicaSet;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.replicated.LogPosition;
import java.nio.ByteBuffer;

/** Numbers and payloads one after the other; enough for entries that are commands. */
final class PlainCodec implements RecordCodec {

    static LogEntry entry(long term, long index, String text) {
        Payload payload = Payload.wrap(text.getBytes());
        return new LogEntry(new LogPosition(term, index), 0, new EntryBody.Command(payload));
    }

    static Snapshot snapshot(long term, long index) {
        Payload image = Payload.wrap(("image" + index).getBytes());
        return new Snapshot(new LogPosition(term, index), 0, ReplicaSet.NONE, image);
    }

    @Override
    public byte[] encode(LogEntry entry) {
        Payload payload = ((EntryBody.Command) entry.body()).payload();
        return numbers(entry.position(), payload);
    }

    @Override
    public LogEntry decodeEntry(byte[] bytes) {
        return new LogEntry(position(bytes), 0, new EntryBody.Command(rest(bytes)));
    }

    @Override
    public byte[] encode(HardState state) {
        return ByteBuffer.allocate(Long.BYTES).putLong(state.term()).array();
    }

    @Override
    public HardState decodeHardState(byte[] bytes) {
        return new HardState(ByteBuffer.wrap(bytes).getLong(), null);
    }

    @Override
    public byte[] encode(Snapshot snapshot) {
        return numbers(snapshot.position(), snapshot.image());
    }

    @Override
    public Snapshot decodeSnapshot(byte[] bytes) {
        return new Snapshot(position(bytes), 0, ReplicaSet.NONE, rest(bytes));
    }

    private static byte[] numbers(LogPosition position, Payload payload) {
        return ByteBuffer.allocate(2 * Long.BYTES + payload.length())
                .putLong(position.term())
                .putLong(position.index())
                .put(payload.array())
                .array();
    }

    private static LogPosition position(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        return new LogPosition(b.getLong(), b.getLong());
    }

    private static Payload rest(byte[] bytes) {
        return Payload.wrap(bytes).slice(2 * Long.BYTES, bytes.length - 2 * Long.BYTES);
    }
}
