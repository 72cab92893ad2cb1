package io.siskintrail.internal.consensus;

import io.siskintrail.internal.consensus.ConsensusMessage.VoteReply;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteRequest;
import io.siskintrail.internal.replicated.LogPosition;
import java.util.HashSet;
import java.util.Set;

/** Campaigns, and answers the campaigns of others. */
final class Election {
    private final ReplicaCore core;
    private final Runnable lead;
    private final Set<ReplicaId> votes = new HashSet<>();

    /**
     * Prepares elections of a replica.
     *
     * @param lead called when the replica has won
     */
    Election(ReplicaCore core, Runnable lead) {
        this.core = core;
        this.lead = lead;
    }

    /** Asks whether this replica could win, without a new term. */
    void startPreVote() {
        core.resetElectionDeadline();
        if (!core.mayCampaign()) {
            return;
        }
        core.role = Role.PRE_CANDIDATE;
        core.leader = null;
        votes.clear();
        votes.add(core.self);
        if (won()) {
            campaign(false);
            return;
        }
        requestVotes(core.term() + 1, true, false);
    }

    /** Starts a new term and asks for votes in it. */
    void campaign(boolean transfer) {
        core.resetElectionDeadline();
        if (!core.mayCampaign()) {
            return;
        }
        core.role = Role.CANDIDATE;
        core.leader = null;
        votes.clear();
        core.saveHardState(core.term() + 1, core.self);
        requestVotes(core.term(), false, transfer);
    }

    /** Counts the own vote once it is durable. */
    void synced() {
        if (core.role == Role.CANDIDATE && core.out.hardStateDurable()) {
            count(core.self);
        }
    }

    void onRequest(ReplicaId from, VoteRequest request) {
        if (request.preVote()) {
            boolean granted =
                    request.term() > core.term() && !core.withholdsVote() && upToDate(request);
            long term = granted ? request.term() : core.term();
            core.out.send(from, new VoteReply(term, true, granted));
            return;
        }
        boolean free = core.vote() == null || core.vote().equals(from);
        boolean granted = request.term() == core.term() && free && upToDate(request);
        if (granted) {
            if (core.vote() == null) {
                core.saveHardState(core.term(), from);
            }
            core.resetElectionDeadline();
        }
        core.out.send(from, new VoteReply(core.term(), false, granted));
    }

    void onReply(ReplicaId from, VoteReply reply) {
        Role expected = reply.preVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        long term = reply.preVote() ? core.term() + 1 : core.term();
        if (!reply.granted() || core.role != expected || reply.term() != term) {
            return;
        }
        count(from);
    }

    private void count(ReplicaId voter) {
        votes.add(voter);
        if (!won()) {
            return;
        }
        if (core.role == Role.PRE_CANDIDATE) {
            campaign(false);
        } else {
            lead.run();
        }
    }

    private boolean won() {
        return core.log.replicas().hasQuorum(votes::contains);
    }

    private void requestVotes(long term, boolean preVote, boolean transfer) {
        VoteRequest request = new VoteRequest(term, preVote, core.log.last(), transfer);
        for (ReplicaId voter : core.log.replicas().voters()) {
            if (!voter.equals(core.self)) {
                core.out.send(voter, request);
            }
        }
    }

    private boolean upToDate(VoteRequest request) {
        LogPosition own = core.log.last();
        LogPosition other = request.last();
        return core.rules.upToDate(other.term(), other.index(), own.term(), own.index());
    }
}
