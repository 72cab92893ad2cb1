package io.siskintrail.wire.control;

import io.siskintrail.internal.consensus.EntryBody;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.session.NumberedCommand;
import io.siskintrail.internal.session.SessionTable;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.control.ControlMessage.Follow;
import io.siskintrail.wire.control.ControlMessage.Followed;
import io.siskintrail.wire.control.ControlMessage.ImageChunk;
import java.util.List;

/**
 * Brings the committed log to one listener: asks a replica for what is behind the last entry, and
 * another one when that stays silent. Repeats of a command are delivered once.
 */
final class LogFollower {
    private static final long ASK_MILLIS = 1_000;

    private final List<HostId> replicas;
    private final CommittedListener listener;
    private final Sender sender;
    private final SessionTable sessions = new SessionTable();
    private int target;
    private long after;
    private LogPosition imagePosition = LogPosition.ZERO;
    private byte[] image;
    private int imageLength;
    private long askedAt;
    private boolean answered = true;

    /** Sends a message to a replica. */
    interface Sender {
        void send(HostId to, ControlMessage message);
    }

    LogFollower(List<HostId> replicas, int firstTarget, CommittedListener listener, Sender sender) {
        this.replicas = replicas;
        this.target = firstTarget;
        this.listener = listener;
        this.sender = sender;
    }

    /** Asks again after a silence, of another replica. */
    void tick(long nowMillis) {
        if (nowMillis - askedAt < ASK_MILLIS) {
            return;
        }
        if (!answered) {
            target = (target + 1) % replicas.size();
        }
        ask(nowMillis);
    }

    void ask(long nowMillis) {
        askedAt = nowMillis;
        answered = false;
        sender.send(replicas.get(target), new Follow(after, imagePosition.index(), imageLength));
    }

    void onFollowed(long nowMillis, Followed reply) {
        answered = true;
        if (reply.after() > after || reply.entries().isEmpty()) {
            return;
        }
        long before = after;
        for (LogEntry entry : reply.entries()) {
            if (entry.index() == after + 1) {
                deliver(entry);
            }
        }
        if (after > before) {
            ask(nowMillis);
        }
    }

    void onChunk(long nowMillis, ImageChunk chunk) {
        answered = true;
        if (chunk.position().index() <= after) {
            return;
        }
        if (!chunk.position().equals(imagePosition)
                || image == null
                || image.length != chunk.totalBytes()) {
            imagePosition = chunk.position();
            image = new byte[chunk.totalBytes()];
            imageLength = 0;
        }
        if (chunk.offset() != imageLength) {
            return;
        }
        byte[] data = chunk.data().array();
        System.arraycopy(data, 0, image, imageLength, data.length);
        imageLength += data.length;
        if (imageLength == image.length) {
            restore();
        }
        ask(nowMillis);
    }

    private void restore() {
        ReplicatedImage restored = ReplicatedImage.decode(Payload.wrap(image));
        sessions.restore(restored.sessions());
        after = imagePosition.index();
        listener.snapshot(imagePosition, restored.state());
        imagePosition = LogPosition.ZERO;
        image = null;
        imageLength = 0;
    }

    private void deliver(LogEntry entry) {
        after = entry.index();
        if (!(entry.body() instanceof EntryBody.Command c)) {
            return;
        }
        NumberedCommand command = ControlMessageCodec.decodeCommand(c.payload().array());
        if (sessions.decide(entry.index(), entry.atMillis(), command)
                instanceof SessionTable.Decision.Apply) {
            sessions.record(command, Payload.EMPTY);
            listener.entry(entry.position(), entry.atMillis(), command.command().array());
        }
    }
}
