package io.siskintrail.internal.consensus;

import io.siskintrail.internal.consensus.ConsensusMessage.AppendReply;
import io.siskintrail.internal.consensus.ConsensusMessage.AppendRequest;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotChunk;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotReply;
import io.siskintrail.internal.replicated.LogPosition;
import java.util.List;

/** Takes entries and snapshots from the leader. */
final class Following {
    private final ReplicaCore core;
    private final SnapshotAssembly assembly = new SnapshotAssembly();

    Following(ReplicaCore core) {
        this.core = core;
    }

    void onAppend(ReplicaId from, AppendRequest request) {
        AppendRequest rest = withoutCommitted(request);
        LogPosition previous = rest.previous();
        if (core.rules.checksPrevious() && !core.log.matches(previous)) {
            reject(from, request, previous);
            return;
        }
        boolean appended = appendNew(rest.entries());
        long last = previous.index() + rest.entries().size();
        core.commitTo(Math.min(rest.commit(), last));
        if (appended) {
            reply(from, last, request.sentAt());
            return;
        }
        long match = Math.min(last, core.log.durableIndex());
        core.out.sendEarly(from, new AppendReply(core.term(), true, match, 0, request.sentAt()));
    }

    void onChunk(ReplicaId from, SnapshotChunk chunk) {
        LogPosition position = chunk.snapshot().position();
        if (position.index() <= core.commitIndex()) {
            reply(from, Math.min(core.commitIndex(), core.log.durableIndex()), chunk.sentAt());
            return;
        }
        if (core.log.matches(position)) {
            core.commitTo(position.index());
            reply(from, position.index(), chunk.sentAt());
            return;
        }
        assembly.take(chunk);
        boolean whole = assembly.isWhole();
        int nextOffset = assembly.length();
        if (whole) {
            core.install(assembly.snapshot());
            assembly.clear();
        }
        core.out.send(
                from, new SnapshotReply(core.term(), position, nextOffset, whole, chunk.sentAt()));
    }

    /** Drops the entries that are committed here; the leader has the same ones. */
    private AppendRequest withoutCommitted(AppendRequest request) {
        long skip = core.commitIndex() - request.previous().index();
        if (skip <= 0) {
            return request;
        }
        List<LogEntry> entries = request.entries();
        List<LogEntry> rest =
                skip >= entries.size() ? List.of() : entries.subList((int) skip, entries.size());
        return new AppendRequest(
                request.term(),
                core.log.position(core.commitIndex()),
                rest,
                request.commit(),
                request.sentAt());
    }

    private boolean appendNew(List<LogEntry> entries) {
        for (int i = 0; i < entries.size(); i++) {
            LogEntry entry = entries.get(i);
            if (core.log.matches(entry.position())) {
                continue;
            }
            if (entry.index() <= core.log.lastIndex()) {
                core.log.truncateFrom(entry.index());
                core.out.persist(new ReplicaEffect.TruncateFrom(entry.index()));
            }
            core.append(entries.subList(i, entries.size()));
            return true;
        }
        return false;
    }

    private void reject(ReplicaId from, AppendRequest request, LogPosition previous) {
        long hint = core.log.lastIndex();
        if (previous.index() <= hint) {
            hint = core.log.indexBeforeTermOf(previous.index(), core.commitIndex());
        }
        long rejected = request.previous().index();
        core.out.sendEarly(
                from, new AppendReply(core.term(), false, rejected, hint, request.sentAt()));
    }

    private void reply(ReplicaId to, long match, long sentAt) {
        core.out.send(to, new AppendReply(core.term(), true, match, 0, sentAt));
    }
}
