package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.Replica;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.control.ControlMessage;
import io.siskintrail.wire.control.ControlMessage.Follow;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Serves committed entries to hosts that follow the log. Used on the control thread. */
final class FollowDesk {
    private static final int MAX_ENTRIES = 512;
    private static final int CHUNK_BYTES = 256 << 10;
    private static final long WAIT_MILLIS = 3_000;

    private final Replica replica;
    private final BiConsumer<HostId, ControlMessage> sender;
    private final Map<Waiting, Long> waiting = new HashMap<>();

    private record Waiting(HostId host, long after) {}

    FollowDesk(Replica replica, BiConsumer<HostId, ControlMessage> sender) {
        this.replica = replica;
        this.sender = sender;
    }

    /**
     * Answers at once; where there is nothing yet, with no entries, to show that this replica is
     * there, and again with the next commit.
     */
    void ask(long nowMillis, HostId from, Follow question) {
        if (!answer(from, question)) {
            waiting.put(new Waiting(from, question.after()), nowMillis + WAIT_MILLIS);
            sender.accept(from, new ControlMessage.Followed(question.after(), List.of()));
        }
    }

    private boolean answer(HostId from, Follow question) {
        List<LogEntry> entries = replica.committedAfter(question.after(), MAX_ENTRIES);
        if (entries == null) {
            sender.accept(from, chunk(question));
            return true;
        }
        if (entries.isEmpty()) {
            return false;
        }
        sender.accept(from, new ControlMessage.Followed(question.after(), entries));
        return true;
    }

    /** Answers everyone who waits. */
    void committed(long nowMillis) {
        waiting.entrySet()
                .removeIf(
                        e ->
                                e.getValue() < nowMillis
                                        || answer(
                                                e.getKey().host(),
                                                new Follow(e.getKey().after(), 0, 0)));
    }

    private ControlMessage chunk(Follow question) {
        Snapshot snapshot = replica.snapshot();
        Payload image = snapshot.image();
        boolean same = question.imageIndex() == snapshot.position().index();
        int offset = same ? Math.min(question.imageOffset(), image.length()) : 0;
        int length = Math.min(CHUNK_BYTES, image.length() - offset);
        return new ControlMessage.ImageChunk(
                snapshot.position(), image.length(), offset, image.slice(offset, length));
    }
}
