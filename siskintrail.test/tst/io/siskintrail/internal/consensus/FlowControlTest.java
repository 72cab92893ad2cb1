package io.siskintrail.internal.consensus;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.consensus.ConsensusMessage.AppendReply;
import io.siskintrail.internal.consensus.ConsensusMessage.AppendRequest;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteReply;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteRequest;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FlowControlTest {
    private static final int COMMAND_BYTES = 1 << 20;
    private static final int COMMANDS = 60;
    private static final long STEP_MILLIS = 100;

    private final ReplicaId self = new ReplicaId(new HostId("a"), 1);
    private final ReplicaId peer = new ReplicaId(new HostId("b"), 1);
    private final Snapshot initial = Snapshot.initial(ReplicaSet.ofVoters(Set.of(self, peer)));
    private final Replica replica =
            new Replica(
                    self,
                    ReplicaSettings.DEFAULT,
                    new StoredState(HardState.INITIAL, initial, List.of()),
                    1);
    private final List<AppendRequest> unanswered = new ArrayList<>();
    private long now;

    @Test
    void largeEntriesWaitForAnswers() {
        while (replica.role() != Role.LEADER || replica.commitIndex() == 0) {
            now += STEP_MILLIS;
            step(new ReplicaInput.Tick());
            answerAll();
        }
        List<ReplicaInput.Proposal> proposals = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            proposals.add(new ReplicaInput.Proposal(i, Payload.wrap(new byte[COMMAND_BYTES])));
        }
        step(new ReplicaInput.Propose(proposals, 0));
        long most = 0;
        while (replica.commitIndex() < replica.lastIndex()) {
            most = Math.max(most, unanswered.stream().mapToLong(FlowControlTest::bytes).sum());
            answerAll();
        }
        assertThat(most).isAtMost(5L * ReplicaSettings.DEFAULT.maxBatchBytes());
    }

    private static long bytes(AppendRequest request) {
        return request.entries().stream().mapToLong(LogEntry::size).sum();
    }

    private void answerAll() {
        List<AppendRequest> requests = List.copyOf(unanswered);
        unanswered.clear();
        for (AppendRequest r : requests) {
            long match = r.previous().index() + r.entries().size();
            receive(new AppendReply(r.term(), true, match, 0, r.sentAt()));
        }
    }

    private void receive(ConsensusMessage message) {
        step(new ReplicaInput.Received(peer, message));
    }

    private void step(ReplicaInput input) {
        for (ReplicaEffect effect : replica.step(now, input)) {
            if (effect instanceof ReplicaEffect.Sync s) {
                step(new ReplicaInput.Synced(s.number()));
            } else if (effect instanceof ReplicaEffect.Send s) {
                if (s.message() instanceof VoteRequest v) {
                    receive(new VoteReply(v.term(), v.preVote(), true));
                } else if (s.message() instanceof AppendRequest a) {
                    unanswered.add(a);
                }
            }
        }
    }
}
