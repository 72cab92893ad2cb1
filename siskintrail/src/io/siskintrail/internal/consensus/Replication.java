package io.siskintrail.internal.consensus;

import io.siskintrail.internal.consensus.ConsensusMessage.AppendReply;
import io.siskintrail.internal.consensus.ConsensusMessage.AppendRequest;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotChunk;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Brings the log of a leader to the other replicas and counts what they hold. */
final class Replication {
    private static final int CHUNK_RETRY_HEARTBEATS = 4;
    private static final int WINDOW_BATCHES = 4;

    private final ReplicaCore core;
    private final Map<ReplicaId, Progress> peers = new TreeMap<>();

    Replication(ReplicaCore core) {
        this.core = core;
    }

    /** Follows the replica set of the log. */
    void refreshMembers() {
        ReplicaSet set = core.log.replicas();
        peers.keySet().removeIf(id -> !set.contains(id));
        set.voters().forEach(this::addPeer);
        set.learners().forEach(this::addPeer);
    }

    /** Sends entries that were appended just now. */
    void sendNew() {
        peers.forEach((id, p) -> send(id, p, false));
    }

    void heartbeat() {
        peers.forEach((id, p) -> send(id, p, true));
    }

    /** Tells the others of a new commit index where no entries are on the way. */
    void announceCommit() {
        peers.forEach(
                (id, p) -> {
                    if (p.mode == Progress.Mode.REPLICATE && p.next > core.log.lastIndex()) {
                        sendEntries(id, p, List.of());
                    }
                });
    }

    void onAppendReply(ReplicaId from, AppendReply reply) {
        Progress p = peers.get(from);
        if (p == null) {
            return;
        }
        p.heard(core.now, reply.sentAt());
        if (reply.success()) {
            onMatch(p, reply.index());
        } else if (p.mode != Progress.Mode.SNAPSHOT) {
            p.rejected(reply.index(), reply.hint());
        }
        send(from, p, false);
    }

    void onSnapshotReply(ReplicaId from, SnapshotReply reply) {
        Progress p = peers.get(from);
        if (p == null) {
            return;
        }
        p.heard(core.now, reply.sentAt());
        boolean current =
                p.mode == Progress.Mode.SNAPSHOT && p.snapshot.position().equals(reply.position());
        if (reply.installed()) {
            p.matched(reply.position().index());
            send(from, p, false);
        } else if (current) {
            boolean progressed = reply.nextOffset() > p.offset;
            p.offset = reply.nextOffset();
            if (progressed) {
                sendChunk(from, p);
            }
        }
    }

    long match(ReplicaId id) {
        if (id.equals(core.self)) {
            return core.log.durableIndex();
        }
        Progress p = peers.get(id);
        return p == null ? 0 : p.match;
    }

    /** Returns the highest index that a majority of the voters holds durably. */
    long majorityMatch() {
        return core.log.replicas().quorumValue(this::match);
    }

    /** Returns the send time of the latest message that a majority acknowledged. */
    long majoritySentAt() {
        return core.log
                .replicas()
                .quorumValue(id -> id.equals(core.self) ? core.now : peers.get(id).ackedSentAt);
    }

    boolean heardFromQuorum() {
        return heardFromQuorumOf(core.log.replicas());
    }

    /** Returns whether a majority of the voters of {@code set} answered within a timeout. */
    boolean heardFromQuorumOf(ReplicaSet set) {
        long oldest = core.now - core.settings.electionMillis();
        return set.hasQuorum(id -> id.equals(core.self) || heardSince(id, oldest));
    }

    List<ReplicaHealth> health() {
        List<ReplicaHealth> all = new ArrayList<>();
        peers.forEach(
                (id, p) ->
                        all.add(
                                new ReplicaHealth(
                                        id,
                                        core.log.replicas().isVoter(id),
                                        core.now - p.heardAt,
                                        core.log.lastIndex() - p.match)));
        return all;
    }

    private boolean heardSince(ReplicaId id, long oldest) {
        Progress p = peers.get(id);
        return p != null && p.heardAt >= oldest;
    }

    private void addPeer(ReplicaId id) {
        if (!id.equals(core.self)) {
            peers.computeIfAbsent(id, x -> new Progress(core.log.lastIndex(), core.now));
        }
    }

    private void onMatch(Progress p, long index) {
        boolean finishesSnapshot =
                p.mode != Progress.Mode.SNAPSHOT || index >= p.snapshot.position().index();
        if (finishesSnapshot) {
            p.matched(index);
        }
    }

    private void send(ReplicaId to, Progress p, boolean heartbeat) {
        if (p.mode != Progress.Mode.SNAPSHOT && p.next <= core.log.baseIndex()) {
            p.startSnapshot(core.log.snapshot());
            sendChunk(to, p);
            return;
        }
        if (p.mode == Progress.Mode.SNAPSHOT) {
            if (heartbeat) {
                remindOfSnapshot(to, p);
            }
            return;
        }
        if (heartbeat) {
            p.probeSent = false;
        }
        boolean sent = false;
        while (hasRoom(p) && p.next <= core.log.lastIndex()) {
            sendEntries(to, p, nextBatch(p));
            sent = true;
        }
        if (heartbeat && !sent) {
            sendEntries(to, p, List.of());
        }
    }

    private boolean hasRoom(Progress p) {
        long windowBytes = (long) WINDOW_BATCHES * core.settings.maxBatchBytes();
        return p.hasRoom(core.settings.windowEntries(), windowBytes);
    }

    private List<LogEntry> nextBatch(Progress p) {
        return core.log.batch(
                p.next,
                core.log.lastIndex(),
                core.settings.maxBatchEntries(),
                core.settings.maxBatchBytes());
    }

    private void sendEntries(ReplicaId to, Progress p, List<LogEntry> entries) {
        core.out.sendEarly(
                to,
                new AppendRequest(
                        core.term(),
                        core.log.position(p.next - 1),
                        entries,
                        core.commitIndex(),
                        core.now));
        if (p.mode == Progress.Mode.REPLICATE && !entries.isEmpty()) {
            long bytes = entries.stream().mapToLong(LogEntry::size).sum();
            p.sent(p.next - 1 + entries.size(), bytes);
        } else if (p.mode == Progress.Mode.PROBE) {
            p.probeSent = true;
        }
    }

    private void remindOfSnapshot(ReplicaId to, Progress p) {
        long retryAfter = core.settings.heartbeatMillis() * CHUNK_RETRY_HEARTBEATS;
        if (core.now - p.chunkSentAt >= retryAfter) {
            sendChunk(to, p);
        } else {
            sendChunkData(to, p, Payload.EMPTY);
        }
    }

    private void sendChunk(ReplicaId to, Progress p) {
        Payload image = p.snapshot.image();
        int length = Math.min(core.settings.chunkBytes(), image.length() - p.offset);
        p.chunkSentAt = core.now;
        sendChunkData(to, p, image.slice(p.offset, length));
    }

    private void sendChunkData(ReplicaId to, Progress p, Payload data) {
        Snapshot s = p.snapshot;
        Snapshot header = new Snapshot(s.position(), s.atMillis(), s.replicas(), Payload.EMPTY);
        core.out.sendEarly(
                to,
                new SnapshotChunk(
                        core.term(), header, s.image().length(), p.offset, data, core.now));
    }
}
