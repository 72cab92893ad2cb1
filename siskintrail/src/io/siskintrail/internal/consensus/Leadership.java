package io.siskintrail.internal.consensus;

import io.siskintrail.internal.consensus.ConsensusMessage.AppendReply;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotReply;
import io.siskintrail.internal.consensus.ConsensusMessage.TimeoutNow;
import io.siskintrail.internal.consensus.ReplicaInput.Proposal;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What a leader does in one term: replicates, commits, holds the lease, changes the replica set.
 */
final class Leadership {
    private static final int MAX_PROMOTION_LAG = 256;

    private final ReplicaCore core;
    private final Replication replication;
    private final ReadQueue reads;
    private final long startIndex;
    private long nextHeartbeat;
    private ReplicaId transferTarget;
    private long transferDeadline;

    /** Begins the term with its first entry. */
    Leadership(ReplicaCore core) {
        this.core = core;
        this.replication = new Replication(core);
        this.reads = new ReadQueue(core);
        this.startIndex = core.log.lastIndex() + 1;
        append(List.of(core.newEntry(0, firstBody())));
        nextHeartbeat = core.now + core.settings.heartbeatMillis();
    }

    /** Puts a replica set that only the snapshot of its founder names into the log. */
    private EntryBody firstBody() {
        return core.log.replicasIndex() == 0
                ? new EntryBody.Reconfiguration(core.log.replicas())
                : new EntryBody.TermStart();
    }

    long startIndex() {
        return startIndex;
    }

    /** Returns false when this replica must stop leading because it lost its quorum. */
    boolean tick() {
        if (!replication.heardFromQuorum()) {
            return false;
        }
        if (transferTarget != null && core.now >= transferDeadline) {
            transferTarget = null;
        }
        if (core.now >= nextHeartbeat) {
            nextHeartbeat = core.now + core.settings.heartbeatMillis();
            replication.heartbeat();
        }
        return true;
    }

    void onAppendReply(ReplicaId from, AppendReply reply) {
        replication.onAppendReply(from, reply);
        commitAndAnswer();
    }

    void onSnapshotReply(ReplicaId from, SnapshotReply reply) {
        replication.onSnapshotReply(from, reply);
        commitAndAnswer();
    }

    /** Commits what a majority holds, after a reply or a sync of the own disk. */
    void commitAndAnswer() {
        long majority = replication.majorityMatch();
        boolean ownTerm =
                majority > core.commitIndex()
                        && core.rules.mayCommit(core.log.position(majority).term(), core.term());
        if (ownTerm) {
            core.commitTo(majority);
            replication.announceCommit();
        }
        reads.answer(replication.majoritySentAt(), holdsLease());
    }

    /** Returns whether the replica set that is committed has this replica no more. */
    boolean isRemoved() {
        return !core.isVoter() && core.log.replicasIndex() <= core.commitIndex();
    }

    void propose(List<Proposal> proposals, long wallMillis) {
        List<LogEntry> entries = new ArrayList<>(proposals.size());
        long index = core.log.lastIndex();
        long atMillis = Math.max(core.log.lastAtMillis(), wallMillis);
        for (Proposal p : proposals) {
            index++;
            LogEntry entry = core.newEntryAt(index, atMillis, new EntryBody.Command(p.command()));
            entries.add(entry);
            core.out.emit(new ReplicaEffect.Proposed(p.token(), entry.position()));
        }
        append(entries);
    }

    /** Returns whether the log takes these proposals before more of it is committed. */
    boolean hasRoom(ReplicaInput.Propose input) {
        long waiting = core.log.bytesAfter(core.commitIndex());
        long more = input.proposals().stream().mapToLong(p -> p.command().length()).sum();
        return waiting == 0 || waiting + more <= core.settings.maxUncommittedBytes();
    }

    boolean isTransferring() {
        return transferTarget != null;
    }

    void read(long token) {
        reads.add(token, core.commitIndex() >= startIndex);
        reads.answer(replication.majoritySentAt(), holdsLease());
    }

    void refuseReads() {
        reads.refuseAll();
    }

    /**
     * Appends a change of the replica set, unless one is under way, it makes no sense, or a
     * majority of the new voters has not been heard of for a moment.
     */
    void change(ReplicaChange change) {
        boolean settled =
                core.commitIndex() >= startIndex && core.log.replicasIndex() <= core.commitIndex();
        if (core.rules.oneChangeAtATime() && !settled) {
            return;
        }
        ReplicaSet now = core.log.replicas();
        ReplicaSet next = next(now, change);
        if (next.equals(now) || !replication.heardFromQuorumOf(next)) {
            return;
        }
        append(List.of(core.newEntry(0, new EntryBody.Reconfiguration(next))));
    }

    void transfer() {
        Optional<ReplicaId> target =
                core.log.replicas().voters().stream()
                        .filter(id -> !id.equals(core.self))
                        .max(Comparator.comparingLong(replication::match));
        if (target.isPresent()) {
            transferTarget = target.get();
            transferDeadline = core.now + core.settings.electionMillis();
        }
    }

    /** Tells the chosen successor to campaign once it has the whole log; returns whether it did. */
    boolean handOver() {
        if (transferTarget == null || replication.match(transferTarget) < core.log.lastIndex()) {
            return false;
        }
        core.out.sendEarly(transferTarget, new TimeoutNow(core.term()));
        return true;
    }

    /** Returns whether no other replica can lead now, by the clocks of the voters. */
    boolean holdsLease() {
        return core.commitIndex() >= startIndex && core.now < leaseUntil();
    }

    long leaseUntil() {
        return replication.majoritySentAt() + core.settings.leaseMillis();
    }

    List<ReplicaHealth> health() {
        return replication.health();
    }

    private ReplicaSet next(ReplicaSet now, ReplicaChange change) {
        ReplicaId id = change.replica();
        if (change instanceof ReplicaChange.AddLearner) {
            return now.contains(id) ? now : now.withLearner(id);
        }
        if (change instanceof ReplicaChange.Promote) {
            boolean caughtUp =
                    replication.match(id) + MAX_PROMOTION_LAG >= core.log.lastIndex()
                            && replication.match(id) >= startIndex;
            return now.learners().contains(id) && caughtUp ? now.withVoter(id) : now;
        }
        boolean lastVoter = now.isVoter(id) && now.voters().size() == 1;
        return lastVoter ? now : now.without(id);
    }

    private void append(List<LogEntry> entries) {
        core.append(entries);
        replication.refreshMembers();
        replication.sendNew();
    }
}
