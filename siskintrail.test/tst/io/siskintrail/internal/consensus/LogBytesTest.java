package io.siskintrail.internal.consensus;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a log that is bounded by its number of entries while these are large. */
class LogBytesTest {
    private static final int COMMAND_BYTES = 1 << 20;
    private static final int COMMANDS = 60;
    private static final long KEEP_BYTES = 2L << 20;
    private static final long MAX_UNCOMMITTED_BYTES = 8L << 20;
    private static final long STEP_MILLIS = 100;
    private static final ReplicaSettings SETTINGS =
            new ReplicaSettings(
                    100,
                    900,
                    0,
                    64,
                    256 << 10,
                    256,
                    256 << 10,
                    16,
                    KEEP_BYTES,
                    MAX_UNCOMMITTED_BYTES);

    private final ReplicaId self = new ReplicaId(new HostId("a"), 1);
    private final List<Long> refused = new ArrayList<>();
    private long now;

    @Test
    void entriesBehindASnapshotAreDroppedByTheirBytes() {
        Replica replica = leader(Set.of(self));
        long most = 0;
        for (int i = 0; i < COMMANDS; i++) {
            propose(replica, i);
            step(
                    replica,
                    new ReplicaInput.SnapshotTaken(
                            replica.commitIndex(), Payload.wrap(new byte[COMMAND_BYTES])));
            most = Math.max(most, replica.logBytes());
        }
        assertThat(replica.commitIndex()).isAtLeast(COMMANDS);
        assertThat(most).isAtMost(KEEP_BYTES + COMMAND_BYTES);
        assertThat(refused).isEmpty();
    }

    @Test
    void proposalsAreRefusedWhileTooMuchWaitsForAMajority() {
        ReplicaId peer = new ReplicaId(new HostId("b"), 1);
        Replica replica = leader(Set.of(self, peer));
        for (int i = 0; i < COMMANDS; i++) {
            propose(replica, i);
        }
        assertThat(replica.logBytes()).isAtMost(MAX_UNCOMMITTED_BYTES);
        assertThat(refused).hasSize(COMMANDS - 8);
    }

    @Test
    void oneCommandAboveTheBoundIsTaken() {
        Replica replica = leader(Set.of(self));
        byte[] large = new byte[(int) MAX_UNCOMMITTED_BYTES + 1];
        step(
                replica,
                new ReplicaInput.Propose(
                        List.of(new ReplicaInput.Proposal(1, Payload.wrap(large))), 0));
        assertThat(refused).isEmpty();
        assertThat(replica.commitIndex()).isEqualTo(replica.lastIndex());
    }

    private Replica leader(Set<ReplicaId> voters) {
        Snapshot initial = Snapshot.initial(ReplicaSet.ofVoters(voters));
        Replica replica =
                new Replica(
                        self, SETTINGS, new StoredState(HardState.INITIAL, initial, List.of()), 1);
        while (replica.role() != Role.LEADER || replica.commitIndex() < replica.lastIndex()) {
            now += STEP_MILLIS;
            step(replica, new ReplicaInput.Tick());
        }
        return replica;
    }

    private void propose(Replica replica, long token) {
        Payload command = Payload.wrap(new byte[COMMAND_BYTES]);
        step(
                replica,
                new ReplicaInput.Propose(List.of(new ReplicaInput.Proposal(token, command)), 0));
    }

    /** Carries an input out on a disk that syncs at once and peers that grant and hold little. */
    private void step(Replica replica, ReplicaInput input) {
        for (ReplicaEffect effect : replica.step(now, input)) {
            if (effect instanceof ReplicaEffect.Sync s) {
                step(replica, new ReplicaInput.Synced(s.number()));
            } else if (effect instanceof ReplicaEffect.ProposalRefused p) {
                refused.add(p.token());
            } else if (effect instanceof ReplicaEffect.Send s) {
                answer(replica, s);
            }
        }
    }

    /** Grants votes and takes the first entry of a term; what follows stays unanswered. */
    private void answer(Replica replica, ReplicaEffect.Send send) {
        ConsensusMessage reply = null;
        if (send.message() instanceof ConsensusMessage.VoteRequest v) {
            reply = new ConsensusMessage.VoteReply(v.term(), v.preVote(), true);
        } else if (send.message() instanceof ConsensusMessage.AppendRequest a
                && a.previous().index() == 0
                && a.entries().size() == 1) {
            reply = new ConsensusMessage.AppendReply(a.term(), true, 1, 0, a.sentAt());
        }
        if (reply != null) {
            step(replica, new ReplicaInput.Received(send.to(), reply));
        }
    }
}
