package io.siskintrail.internal.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ReplacementTest {
    private static final long LOST_AFTER_MILLIS = 500;
    private static final int PATIENCE_MILLIS = 6_000;
    private static final int STEP_MILLIS = 50;

    private final Map<ReplicaId, ReplacementPolicy> policies = new HashMap<>();

    @Property(seed = "4401", tries = 60, shrinking = ShrinkingMode.OFF)
    void secondLossRightAfterARepairIsSurvived(
            @ForAll long seed, @ForAll @IntRange(max = 4) int first) {
        policies.clear();
        int voters = seed % 2 == 0 ? 3 : 5;
        Simulation sim = new Simulation(voters, 2, seed, SafetyRules::new);
        run(sim, voters, 1_000);
        sim.nodes.forEach(n -> sim.propose(n, 20));
        run(sim, voters, 200);
        SimulatedNode lost = sim.node(first % voters);
        sim.replaceDisk(lost);
        awaitRepair(sim, voters, lost);
        SimulatedNode second = votersOf(sim).stream().filter(n -> n != lost).findAny().get();
        sim.replaceDisk(second);
        long before = sim.oracle.committedIndex();
        awaitRepair(sim, voters, second);
        sim.nodes.forEach(n -> sim.propose(n, 1));
        run(sim, voters, 500);
        assertThat(sim.oracle.committedIndex()).isGreaterThan(before + 1);
        sim.recover();
    }

    @Test
    void spareInAnotherFailureDomainIsPreferred() {
        ReplicaId leader = new ReplicaId(new HostId("a"), 1);
        ReplicaId live = new ReplicaId(new HostId("b"), 1);
        ReplicaId gone = new ReplicaId(new HostId("c"), 1);
        ReplicaId near = new ReplicaId(new HostId("d"), 1);
        ReplicaId far = new ReplicaId(new HostId("e"), 1);
        FailureDomain x = new FailureDomain("x");
        FailureDomain y = new FailureDomain("y");
        ReplacementPolicy policy = new ReplacementPolicy(3, LOST_AFTER_MILLIS);
        policy.offered(1_000, near, x);
        policy.offered(1_000, far, y);
        Optional<ReplicaChange> next =
                policy.next(
                        1_000,
                        leader,
                        ReplicaSet.ofVoters(Set.of(leader, live, gone)),
                        List.of(
                                new ReplicaHealth(live, true, 10, 0),
                                new ReplicaHealth(gone, true, 900, 50)),
                        Map.of(leader.host(), x, live.host(), x, gone.host(), y));
        assertThat(next).hasValue(new ReplicaChange.AddLearner(far));
    }

    private void awaitRepair(Simulation sim, int voters, SimulatedNode lost) {
        for (int t = 0; t < PATIENCE_MILLIS; t += STEP_MILLIS) {
            run(sim, voters, STEP_MILLIS);
            List<SimulatedNode> now = votersOf(sim);
            if (now.size() == voters && !now.contains(lost)) {
                return;
            }
        }
        assertWithMessage("%s is replaced: %s", lost.id, sim.nodes).fail();
    }

    /** Returns the voters by the lease holder whose replica set is committed. */
    private static List<SimulatedNode> votersOf(Simulation sim) {
        for (SimulatedNode node : sim.nodes) {
            if (sim.holdsLease(node)) {
                RaftLog log = node.replica.log();
                boolean committed = log.replicasIndex() <= node.replica.commitIndex();
                ReplicaSet set = log.replicas();
                return sim.nodes.stream().filter(n -> committed && set.isVoter(n.id)).toList();
            }
        }
        return List.of();
    }

    private void run(Simulation sim, int voters, int millis) {
        for (int t = 0; t < millis; t += STEP_MILLIS) {
            sim.run(STEP_MILLIS);
            for (SimulatedNode leader : sim.nodes) {
                if (leader.isUp() && leader.replica.role() == Role.LEADER) {
                    control(sim, leader, voters);
                }
            }
        }
    }

    private void control(Simulation sim, SimulatedNode leader, int voters) {
        ReplacementPolicy policy =
                policies.computeIfAbsent(
                        leader.id, x -> new ReplacementPolicy(voters, LOST_AFTER_MILLIS));
        for (SimulatedNode other : sim.nodes) {
            if (other.isUp() && sim.leaderSilentMillis(other) > LOST_AFTER_MILLIS) {
                policy.offered(sim.now(), other.id, new FailureDomain("x"));
            }
        }
        Replica replica = leader.replica;
        policy.next(sim.now(), leader.id, replica.replicas(), replica.health(), Map.of())
                .ifPresent(c -> sim.input(leader, new ReplicaInput.ChangeReplicas(c)));
    }
}
