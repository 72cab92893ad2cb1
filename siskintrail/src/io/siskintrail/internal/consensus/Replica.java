package io.siskintrail.internal.consensus;

import io.siskintrail.internal.consensus.ConsensusMessage.AppendReply;
import io.siskintrail.internal.consensus.ConsensusMessage.AppendRequest;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotChunk;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotReply;
import io.siskintrail.internal.consensus.ConsensusMessage.TimeoutNow;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteReply;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteRequest;
import io.siskintrail.internal.consensus.ReplicaInput.Proposal;
import io.siskintrail.internal.consensus.ReplicaInput.Propose;
import io.siskintrail.lib.StateMachine;
import java.util.List;

/**
 * One replica of the log. Its owner feeds it messages, time and completed syncs, and carries out
 * the effects in order.
 */
public final class Replica implements StateMachine<ReplicaInput, ReplicaEffect> {
    private final ReplicaCore core;
    private final Election election;
    private final Following following;
    private Leadership leadership;
    private ReplicaEffect.RoleChanged told;
    private Snapshot savedSnapshot;
    private long savedSnapshotNumber;
    private boolean started;

    /**
     * Starts a replica.
     *
     * @param self its id
     * @param settings times and sizes
     * @param stored what its disk holds
     * @param seed the seed of its election jitter; should differ between replicas
     */
    public Replica(ReplicaId self, ReplicaSettings settings, StoredState stored, long seed) {
        this(self, settings, new SafetyRules(), stored, seed);
    }

    Replica(
            ReplicaId self,
            ReplicaSettings settings,
            SafetyRules rules,
            StoredState stored,
            long seed) {
        core = new ReplicaCore(self, settings, rules, stored, seed);
        election = new Election(core, this::lead);
        following = new Following(core);
        if (RaftLog.isSuperseded(stored)) {
            core.out.persist(new ReplicaEffect.SaveSnapshot(stored.snapshot(), true));
        }
    }

    @Override
    public List<ReplicaEffect> step(long nowMillis, ReplicaInput input) {
        core.now = nowMillis;
        if (!started) {
            start();
        }
        dispatch(input);
        if (leadership != null && leadership.isRemoved()) {
            follow(core.term(), null);
        }
        if (leadership != null && leadership.handOver()) {
            follow(core.term(), null);
        }
        tellRole();
        return core.out.flush(core.log);
    }

    /** Returns the role as of the last step. */
    public Role role() {
        return core.role;
    }

    /** Returns the current term. */
    public long term() {
        return core.term();
    }

    /** Returns the leader of the current term, null when unknown. */
    public ReplicaId leader() {
        return core.leader;
    }

    /** Returns the highest index known to be committed. */
    public long commitIndex() {
        return core.commitIndex();
    }

    /** Returns the index of the last entry of the log, committed or not. */
    public long lastIndex() {
        return core.log.lastIndex();
    }

    /** Returns the replica set in use. */
    public ReplicaSet replicas() {
        return core.log.replicas();
    }

    /** Returns whether the replica set in use is known to be committed. */
    public boolean replicasSettled() {
        return core.log.replicasIndex() <= core.commitIndex();
    }

    /** Returns the latest snapshot. */
    public Snapshot snapshot() {
        return core.log.snapshot();
    }

    /**
     * Returns the committed entries behind {@code index}, at most {@code max}; null when compacted.
     */
    public List<LogEntry> committedAfter(long index, int max) {
        if (index < core.log.baseIndex()) {
            return null;
        }
        return core.log.batch(index + 1, core.commitIndex(), max, core.settings.maxBatchBytes());
    }

    /** Returns whether at {@code nowMillis} this replica leads and no other one can. */
    public boolean holdsLease(long nowMillis) {
        return leadership != null && leadership.holdsLease() && nowMillis < leadership.leaseUntil();
    }

    /** Returns whether this replica has no log, no vote and belongs to no replica set. */
    public boolean isPristine() {
        return core.term() == 0
                && core.log.lastIndex() == 0
                && core.log.replicas().equals(ReplicaSet.NONE);
    }

    /** Returns until when no other replica can lead, by this clock; always past on other roles. */
    public long leaseUntil() {
        boolean holds = leadership != null && leadership.holdsLease();
        return holds ? leadership.leaseUntil() : Long.MIN_VALUE;
    }

    /** Returns the index of the first entry of the term of this leader; 0 on other roles. */
    public long termStartIndex() {
        return leadership == null ? 0 : leadership.startIndex();
    }

    /** Returns what a leader knows of the other replicas; empty on other roles. */
    public List<ReplicaHealth> health() {
        return leadership == null ? List.of() : leadership.health();
    }

    /** Returns milliseconds since the last message of a leader; 0 on a leader. */
    public long leaderSilentMillis(long nowMillis) {
        return leadership != null ? 0 : nowMillis - core.heardLeaderAt;
    }

    /** Returns the payload bytes of the entries in memory. */
    public long logBytes() {
        return core.log.bytesAfter(core.log.baseIndex());
    }

    RaftLog log() {
        return core.log;
    }

    private void start() {
        started = true;
        core.resetElectionDeadline();
        boolean waits = core.rules.waitsAfterStart() && core.settings.leaseMillis() > 0;
        core.heardLeaderAt = waits ? core.now : core.now - core.settings.electionMillis();
        if (!waits) {
            core.bringElectionForward();
        }
    }

    private void dispatch(ReplicaInput input) {
        if (input instanceof ReplicaInput.Tick) {
            tick();
        } else if (input instanceof ReplicaInput.Received r) {
            receive(r.from(), r.message());
        } else if (input instanceof ReplicaInput.Synced s) {
            synced(s.number());
        } else if (input instanceof Propose p) {
            propose(p);
        } else if (input instanceof ReplicaInput.Read r) {
            read(r.token());
        } else if (input instanceof ReplicaInput.ChangeReplicas c) {
            if (leadership != null) {
                leadership.change(c.change());
            }
        } else if (input instanceof ReplicaInput.TransferLeadership) {
            if (leadership != null) {
                leadership.transfer();
            }
        } else if (input instanceof ReplicaInput.Form f) {
            form(f.replicas());
        } else if (input instanceof ReplicaInput.SnapshotTaken s) {
            snapshotTaken(s);
        }
    }

    private void tick() {
        if (leadership != null) {
            if (!leadership.tick()) {
                follow(core.term(), null);
            }
        } else if (core.now >= core.electionDeadline) {
            election.startPreVote();
        }
    }

    private void receive(ReplicaId from, ConsensusMessage message) {
        if (message instanceof VoteRequest v) {
            receiveVoteRequest(from, v);
            return;
        }
        if (message instanceof VoteReply v && v.granted()) {
            election.onReply(from, v);
            return;
        }
        if (message.term() > core.term()) {
            follow(message.term(), null);
        }
        if (message.term() < core.term()) {
            answerStale(from, message);
            return;
        }
        if (message instanceof AppendRequest a) {
            heardLeader(from);
            following.onAppend(from, a);
        } else if (message instanceof SnapshotChunk c) {
            heardLeader(from);
            following.onChunk(from, c);
        } else if (message instanceof AppendReply a && leadership != null) {
            leadership.onAppendReply(from, a);
        } else if (message instanceof SnapshotReply s && leadership != null) {
            leadership.onSnapshotReply(from, s);
        } else if (message instanceof TimeoutNow && core.role != Role.LEADER) {
            election.campaign(true);
        }
    }

    private void receiveVoteRequest(ReplicaId from, VoteRequest request) {
        boolean newer = !request.preVote() && request.term() > core.term();
        if (newer) {
            if (!request.transfer() && core.withholdsVote()) {
                return;
            }
            follow(request.term(), null);
        }
        election.onRequest(from, request);
    }

    private void answerStale(ReplicaId from, ConsensusMessage message) {
        if (message instanceof AppendRequest a) {
            core.out.send(
                    from, new AppendReply(core.term(), false, a.previous().index(), 0, a.sentAt()));
        } else if (message instanceof SnapshotChunk c) {
            core.out.send(from, new AppendReply(core.term(), false, 0, 0, c.sentAt()));
        }
    }

    private void heardLeader(ReplicaId from) {
        if (core.role != Role.FOLLOWER || !from.equals(core.leader)) {
            follow(core.term(), from);
        }
        core.heardLeaderAt = core.now;
        core.resetElectionDeadline();
    }

    private void synced(long number) {
        core.log.synced(number);
        core.out.synced(number);
        if (savedSnapshot != null && core.out.isSynced(savedSnapshotNumber)) {
            compact();
        }
        election.synced();
        if (leadership != null) {
            leadership.commitAndAnswer();
        }
    }

    private void form(ReplicaSet replicas) {
        if (!isPristine()) {
            return;
        }
        Snapshot initial = Snapshot.initial(replicas);
        core.log.reset(initial);
        core.out.persist(new ReplicaEffect.SaveSnapshot(initial, true));
        if (replicas.voters().size() == 1) {
            core.electionDeadline = core.now;
        }
    }

    private void propose(Propose input) {
        if (leadership != null && !leadership.isTransferring() && leadership.hasRoom(input)) {
            leadership.propose(input.proposals(), input.wallMillis());
            return;
        }
        for (Proposal p : input.proposals()) {
            core.out.emit(new ReplicaEffect.ProposalRefused(p.token(), core.leader));
        }
    }

    private void read(long token) {
        if (leadership == null) {
            core.out.emit(new ReplicaEffect.ReadRefused(token, core.leader));
            return;
        }
        leadership.read(token);
    }

    private void snapshotTaken(ReplicaInput.SnapshotTaken taken) {
        boolean useful =
                taken.index() > core.log.snapshot().position().index()
                        && taken.index() <= core.commitIndex()
                        && savedSnapshot == null;
        if (!useful) {
            return;
        }
        LogEntry entry = core.log.entry(taken.index());
        savedSnapshot =
                new Snapshot(
                        entry.position(),
                        entry.atMillis(),
                        core.log.replicasAt(taken.index()),
                        taken.image());
        core.out.persist(new ReplicaEffect.SaveSnapshot(savedSnapshot, false));
        savedSnapshotNumber = core.out.pendingNumber();
    }

    private void compact() {
        Snapshot saved = savedSnapshot;
        savedSnapshot = null;
        if (saved.position().index() <= core.log.snapshot().position().index()) {
            return;
        }
        core.log.setSnapshot(saved);
        long last = saved.position().index();
        long keepFrom =
                Math.max(
                        last - core.settings.keepEntries(),
                        core.log.indexBeforeBytes(last, core.settings.keepBytes()));
        if (keepFrom > core.log.baseIndex()) {
            core.log.compactTo(keepFrom);
            core.out.persist(new ReplicaEffect.CompactTo(keepFrom));
        }
    }

    private void lead() {
        core.role = Role.LEADER;
        core.leader = core.self;
        leadership = new Leadership(core);
    }

    private void follow(long term, ReplicaId leader) {
        if (term > core.term()) {
            core.saveHardState(term, null);
        }
        if (leadership != null) {
            core.resetElectionDeadline();
        }
        core.role = Role.FOLLOWER;
        core.leader = leader;
        Leadership ended = leadership;
        leadership = null;
        if (ended != null) {
            ended.refuseReads();
        }
    }

    private void tellRole() {
        ReplicaEffect.RoleChanged now =
                new ReplicaEffect.RoleChanged(core.role, core.term(), core.leader);
        if (!now.equals(told)) {
            told = now;
            core.out.emit(now);
        }
    }
}
