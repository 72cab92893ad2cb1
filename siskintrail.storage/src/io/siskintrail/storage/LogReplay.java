package io.siskintrail.storage;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.RecordCodec;
import io.siskintrail.lib.ResultCode;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Builds the stored entries, term and vote from the records of the segments, in order. */
final class LogReplay {
    private final RecordCodec codec;
    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = HardState.INITIAL;

    LogReplay(RecordCodec codec) {
        this.codec = codec;
    }

    List<LogEntry> entries() {
        return entries;
    }

    HardState hardState() {
        return hardState;
    }

    /**
     * Replays one segment.
     *
     * @param last whether it is the newest one, whose tail a crash can have torn
     * @return the size of its sound part
     */
    int replay(Segment segment, byte[] file, boolean last) {
        boolean marked = beginsMarked(file);
        int offset = 0;
        while (offset < file.length) {
            RecordFormat.Frame frame = RecordFormat.decode(file, offset);
            if (frame == null) {
                checkTornTail(segment, file, offset, last, marked);
                return offset;
            }
            apply(segment, offset, frame);
            offset = frame.end();
        }
        return offset;
    }

    private static boolean beginsMarked(byte[] file) {
        RecordFormat.Frame first = RecordFormat.decode(file, 0);
        return first != null && first.type() == RecordType.BEGIN;
    }

    /**
     * Refuses what a loss of power cannot have left: only the last write to the newest segment can
     * be torn, in any part of it. Where writes are marked, a mark behind the bad record tells that
     * the record was durable once; where they are not, any sound record behind it counts as one.
     */
    private static void checkTornTail(
            Segment segment, byte[] file, int offset, boolean last, boolean marked) {
        int next =
                marked
                        ? RecordFormat.findNext(file, offset + 1, t -> t == RecordType.WRITE)
                        : RecordFormat.findNext(file, offset + 1, t -> true);
        if (last && next < 0) {
            return;
        }
        String where = next < 0 ? "newer segments follow" : "a sound record follows at " + next;
        throw damaged(segment, offset, "record is damaged and " + where);
    }

    private void apply(Segment segment, int offset, RecordFormat.Frame frame) {
        switch (frame.type()) {
            case HARD_STATE, BEGIN -> hardState = codec.decodeHardState(frame.body());
            case ENTRY -> append(segment, offset, codec.decodeEntry(frame.body()));
            case TRUNCATE -> truncateFrom(ByteBuffer.wrap(frame.body()).getLong());
            case RESET -> entries.clear();
            case WRITE -> {}
            default -> throw damaged(segment, offset, "record type is unknown");
        }
    }

    private void append(Segment segment, int offset, LogEntry entry) {
        long expected = entries.isEmpty() ? entry.index() : lastIndex() + 1;
        if (entry.index() != expected) {
            throw damaged(
                    segment,
                    offset,
                    "entry %d where %d was expected".formatted(entry.index(), expected));
        }
        entries.add(entry);
        segment.holds(entry.index());
    }

    private void truncateFrom(long index) {
        if (entries.isEmpty()) {
            return;
        }
        int keep = (int) Math.max(0, index - entries.get(0).index());
        if (keep < entries.size()) {
            entries.subList(keep, entries.size()).clear();
        }
    }

    private long lastIndex() {
        return entries.get(entries.size() - 1).index();
    }

    private static StorageException damaged(Segment segment, int offset, String what) {
        return StorageException.damaged(ResultCode.LOG_DAMAGED, segment.name(), offset, what);
    }
}
