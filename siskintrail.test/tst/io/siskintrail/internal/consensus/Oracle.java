package io.siskintrail.internal.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.internal.consensus.ConsensusMessage.VoteReply;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What must hold over all replicas, in plain maps. */
final class Oracle {
    private final List<LogEntry> committed = new ArrayList<>();
    private final List<Long> commitTerms = new ArrayList<>();
    private final List<Long> hashes = new ArrayList<>(List.of(0L));
    private final Map<Long, ReplicaId> leaders = new HashMap<>();
    private final Map<ReplicaId, Map<Long, ReplicaId>> votes = new HashMap<>();
    private final Map<ReplicaId, Long> termsSent = new HashMap<>();

    long committedIndex() {
        return committed.size();
    }

    /** Returns a digest of the committed log up to {@code index}. */
    long hash(long index) {
        return hashes.get((int) index);
    }

    void sees(ReplicaId node, long term, long applied, LogEntry entry) {
        assertWithMessage("%s applies in order", node).that(entry.index()).isEqualTo(applied + 1);
        int at = (int) entry.index() - 1;
        if (at < committed.size()) {
            assertWithMessage("committed entry %s on %s", entry.index(), node)
                    .that(entry)
                    .isEqualTo(committed.get(at));
            return;
        }
        if (at > 0) {
            assertWithMessage("time of entry %s", entry.index())
                    .that(entry.atMillis())
                    .isAtLeast(committed.get(at - 1).atMillis());
        }
        committed.add(entry);
        commitTerms.add(term);
        hashes.add(31 * hashes.get(at) + entry.hashCode());
    }

    void leads(ReplicaId node, Replica replica) {
        ReplicaId other = leaders.putIfAbsent(replica.term(), node);
        assertWithMessage("leaders of term %s", replica.term())
                .that(other == null ? node : other)
                .isEqualTo(node);
        RaftLog log = replica.log();
        for (LogEntry entry : committed) {
            boolean earlier = commitTerms.get((int) entry.index() - 1) < replica.term();
            if (earlier && entry.index() > log.baseIndex()) {
                assertWithMessage(
                                "leader %s of term %s has committed entry %s",
                                node, replica.term(), entry.position())
                        .that(log.matches(entry.position()))
                        .isTrue();
            }
        }
    }

    void sends(ReplicaId from, ReplicaId to, ConsensusMessage message) {
        if (message instanceof VoteRequest v && v.preVote()
                || message instanceof VoteReply r && r.preVote()) {
            return;
        }
        long last = termsSent.getOrDefault(from, 0L);
        assertWithMessage("term sent by %s", from).that(message.term()).isAtLeast(last);
        termsSent.put(from, message.term());
        if (message instanceof VoteRequest) {
            votes(from, message.term(), from);
        } else if (message instanceof VoteReply r && r.granted()) {
            votes(from, message.term(), to);
        }
    }

    private void votes(ReplicaId voter, long term, ReplicaId candidate) {
        ReplicaId other =
                votes.computeIfAbsent(voter, x -> new HashMap<>()).putIfAbsent(term, candidate);
        assertWithMessage("votes of %s in term %s", voter, term)
                .that(other == null ? candidate : other)
                .isEqualTo(candidate);
    }
}
