package io.siskintrail.internal.consensus;

import io.siskintrail.internal.replicated.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The state that all roles of a replica share. */
final class ReplicaCore {
    final ReplicaId self;
    final ReplicaSettings settings;
    final SafetyRules rules;
    final RaftLog log;
    final Outbox out;
    private final SplittableRandom random;
    Role role = Role.FOLLOWER;
    ReplicaId leader;
    long now;
    long heardLeaderAt;
    long electionDeadline;
    private HardState hardState;
    private long commitIndex;

    ReplicaCore(
            ReplicaId self,
            ReplicaSettings settings,
            SafetyRules rules,
            StoredState stored,
            long seed) {
        this.self = self;
        this.settings = settings;
        this.rules = rules;
        this.hardState = stored.hardState();
        this.log = new RaftLog(stored);
        this.out = new Outbox(rules);
        this.random = new SplittableRandom(seed);
        this.commitIndex = stored.snapshot().position().index();
    }

    long term() {
        return hardState.term();
    }

    ReplicaId vote() {
        return hardState.vote();
    }

    long commitIndex() {
        return commitIndex;
    }

    void saveHardState(long term, ReplicaId vote) {
        hardState = new HardState(term, vote);
        out.persist(new ReplicaEffect.SaveHardState(hardState));
    }

    void resetElectionDeadline() {
        electionDeadline =
                now + settings.electionMillis() + random.nextLong(settings.electionMillis());
    }

    /** Lets a replica that just started campaign soon: without leases it protects no leader. */
    void bringElectionForward() {
        electionDeadline =
                now + settings.heartbeatMillis() + random.nextLong(settings.electionMillis() / 2);
    }

    void append(List<LogEntry> entries) {
        entries.forEach(log::add);
        out.persist(new ReplicaEffect.AppendEntries(List.copyOf(entries)));
    }

    LogEntry newEntry(long wallMillis, EntryBody body) {
        long atMillis = Math.max(log.lastAtMillis(), wallMillis);
        return newEntryAt(log.lastIndex() + 1, atMillis, body);
    }

    LogEntry newEntryAt(long index, long atMillis, EntryBody body) {
        return new LogEntry(new LogPosition(term(), index), atMillis, body);
    }

    /** Moves the commit index forward and hands the entries to the state. */
    void commitTo(long index) {
        if (index <= commitIndex) {
            return;
        }
        List<LogEntry> committed = new ArrayList<>();
        for (long i = commitIndex + 1; i <= index; i++) {
            committed.add(log.entry(i));
        }
        commitIndex = index;
        out.emit(new ReplicaEffect.Commit(List.copyOf(committed)));
    }

    /** Replaces log and state by a snapshot that a leader sent. */
    void install(Snapshot snapshot) {
        log.reset(snapshot);
        commitIndex = snapshot.position().index();
        out.persist(new ReplicaEffect.SaveSnapshot(snapshot, true));
        out.emit(new ReplicaEffect.Restore(snapshot));
    }

    /** Returns whether a vote against the current leader must be withheld for now. */
    boolean withholdsVote() {
        return role == Role.LEADER
                || rules.withholdsVote(now - heardLeaderAt, settings.electionMillis());
    }

    boolean isVoter() {
        return log.replicas().isVoter(self);
    }

    /**
     * Returns whether this replica may campaign: it is a voter, or was one before a change that may
     * never be committed. The others can depend on it to finish the change that removes it.
     */
    boolean mayCampaign() {
        return log.replicaSetsFrom(commitIndex).stream().anyMatch(set -> set.isVoter(self));
    }
}
