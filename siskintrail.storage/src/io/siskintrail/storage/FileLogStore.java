package io.siskintrail.storage;

import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.RecordCodec;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.lib.ResultCode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Keeps the state of a replica in files: the write-ahead log in segments, and the newest snapshot.
 * Changes gather in memory and reach the disk with one write and one sync.
 */
public final class FileLogStore extends LogStore {
    /** The size from which on a new segment is begun, in bytes. */
    public static final long DEFAULT_SEGMENT_BYTES = 16L << 20;

    /** The records that wait for a sync; written without another copy of them. */
    private static final class PendingBytes extends ByteArrayOutputStream {
        ByteBuffer asBuffer() {
            return ByteBuffer.wrap(buf, 0, count);
        }
    }

    private final StorageFiles files;
    private final RecordCodec codec;
    private final SnapshotFiles snapshots;
    private final long segmentBytes;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private PendingBytes pending = new PendingBytes();
    private HardState hardState = HardState.INITIAL;
    private StorageFiles.Output output;
    private long outputBytes;

    /**
     * Prepares a store.
     *
     * @param files the data folder
     * @param codec converts what is stored
     * @param segmentBytes the size from which on a new segment is begun
     */
    public FileLogStore(StorageFiles files, RecordCodec codec, long segmentBytes) {
        this.files = files;
        this.codec = codec;
        this.segmentBytes = segmentBytes;
        this.snapshots = new SnapshotFiles(files, codec);
    }

    @Override
    public StoredState open() {
        try {
            Snapshot snapshot = snapshots.readNewest();
            List<LogEntry> entries = replay();
            checkJoined(snapshot, entries);
            return new StoredState(hardState, snapshot, entries);
        } catch (IOException e) {
            throw StorageException.failed("open", e);
        }
    }

    @Override
    public void close() {
        try {
            if (output != null) {
                output.close();
            }
        } catch (IOException e) {
            throw StorageException.failed("close", e);
        }
    }

    @Override
    protected void saveHardState(HardState state) {
        hardState = state;
        add(RecordType.HARD_STATE, codec.encode(state));
    }

    @Override
    protected void append(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            add(RecordType.ENTRY, codec.encode(entry));
            segments.getLast().holds(entry.index());
        }
    }

    @Override
    protected void truncateFrom(long index) {
        add(RecordType.TRUNCATE, ByteBuffer.allocate(Long.BYTES).putLong(index).array());
    }

    @Override
    protected void saveSnapshot(Snapshot snapshot, boolean resetsLog) throws IOException {
        force();
        snapshots.save(snapshot);
        if (resetsLog) {
            add(RecordType.RESET, new byte[0]);
        }
    }

    @Override
    protected void compactTo(long index) throws IOException {
        while (segments.size() > 1 && segments.getFirst().maxIndex() < index) {
            files.delete(segments.removeFirst().name());
            // A loss of power must not bring this one back without the ones behind it.
            files.syncFolder();
        }
    }

    @Override
    protected void force() throws IOException {
        if (pending.size() == 0) {
            return;
        }
        output.write(pending.asBuffer());
        output.sync();
        outputBytes += pending.size();
        pending = new PendingBytes();
        if (outputBytes >= segmentBytes) {
            beginSegment(segments.getLast().number() + 1);
        }
    }

    private void add(RecordType type, byte[] body) {
        if (pending.size() == 0) {
            pending.writeBytes(RecordFormat.encode(RecordType.WRITE, new byte[0]));
        }
        pending.writeBytes(RecordFormat.encode(type, body));
    }

    private List<LogEntry> replay() throws IOException {
        List<Segment> found = new ArrayList<>();
        for (String name : files.list()) {
            if (name.endsWith(Segment.SUFFIX)) {
                found.add(Segment.ofName(name));
            }
        }
        LogReplay replay = new LogReplay(codec);
        for (int i = 0; i < found.size(); i++) {
            Segment segment = found.get(i);
            boolean last = i == found.size() - 1;
            byte[] file = files.read(segment.name());
            int sound = replay.replay(segment, file, last);
            if (last) {
                rewrite(segment, file, sound);
            } else {
                syncFound(segment);
            }
            segments.add(segment);
        }
        hardState = replay.hardState();
        long next = found.isEmpty() ? 1 : found.get(found.size() - 1).number() + 1;
        beginSegment(next);
        return replay.entries();
    }

    /**
     * Replaces the newest segment by a durable copy of its sound part. The process that wrote it
     * may have ended before a sync, or a sync may have failed, after which no further one of the
     * same file would tell what the disk holds.
     */
    private void rewrite(Segment segment, byte[] file, int sound) throws IOException {
        String part = segment.name() + SnapshotFiles.PART;
        try (StorageFiles.Output out = files.append(part)) {
            out.write(ByteBuffer.wrap(file, 0, sound));
            out.sync();
        }
        files.rename(part, segment.name());
        files.syncFolder();
    }

    /** Makes an older segment durable, in case an older build began another one without that. */
    private void syncFound(Segment segment) throws IOException {
        try (StorageFiles.Output out = files.append(segment.name())) {
            out.sync();
        }
    }

    /** Begins a segment with the term and vote, so that it can stand without the ones before. */
    private void beginSegment(long number) throws IOException {
        if (output != null) {
            output.close();
        }
        Segment segment = new Segment(number);
        output = files.append(segment.name());
        byte[] first = RecordFormat.encode(RecordType.BEGIN, codec.encode(hardState));
        output.write(ByteBuffer.wrap(first));
        output.sync();
        files.syncFolder();
        outputBytes = first.length;
        segments.add(segment);
    }

    private void checkJoined(Snapshot snapshot, List<LogEntry> entries) {
        long covered = snapshot.position().index();
        if (!entries.isEmpty() && entries.get(0).index() > covered + 1) {
            throw StorageException.damaged(
                    ResultCode.LOG_DAMAGED,
                    segments.getFirst().name(),
                    0,
                    "log begins at entry %d but the snapshot ends at %d"
                            .formatted(entries.get(0).index(), covered));
        }
    }
}
