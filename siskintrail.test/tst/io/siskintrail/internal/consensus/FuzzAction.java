package io.siskintrail.internal.consensus;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/** One step of a random run: something that happens to node {@code a}, then some time. */
record FuzzAction(Kind kind, int a, int b, int millis) {

    /** What happens. */
    enum Kind {
        WAIT,
        PROPOSE,
        READ,
        SNAPSHOT,
        CRASH,
        START,
        PAUSE,
        RESUME,
        CUT_ONE_WAY,
        ISOLATE,
        PARTITION,
        HEAL,
        LOSS,
        ADD_LEARNER,
        PROMOTE,
        REMOVE,
        TRANSFER,
        LOSE_DISK,
        LOSE_POWER,
        LOSE_POWER_EVERYWHERE,
        KILL_ALL,
        START_ALL,
        REFUSE_DISK
    }

    /** Faults of processes, disks and power in a row, for runs on real stores. */
    static Arbitrary<List<FuzzAction>> listsOfDiskFaults(int length) {
        return lists(
                length,
                Arbitraries.frequency(
                        Tuple.of(8, Kind.WAIT),
                        Tuple.of(30, Kind.PROPOSE),
                        Tuple.of(4, Kind.READ),
                        Tuple.of(6, Kind.SNAPSHOT),
                        Tuple.of(4, Kind.CRASH),
                        Tuple.of(10, Kind.START),
                        Tuple.of(8, Kind.START_ALL),
                        Tuple.of(2, Kind.KILL_ALL),
                        Tuple.of(3, Kind.LOSE_POWER),
                        Tuple.of(2, Kind.LOSE_POWER_EVERYWHERE),
                        Tuple.of(2, Kind.REFUSE_DISK),
                        Tuple.of(2, Kind.ISOLATE),
                        Tuple.of(2, Kind.PARTITION),
                        Tuple.of(6, Kind.HEAL),
                        Tuple.of(2, Kind.ADD_LEARNER),
                        Tuple.of(3, Kind.PROMOTE),
                        Tuple.of(1, Kind.REMOVE),
                        Tuple.of(1, Kind.LOSE_DISK)));
    }

    static Arbitrary<List<FuzzAction>> lists(int length) {
        return lists(
                length,
                Arbitraries.frequency(
                        Tuple.of(10, Kind.WAIT),
                        Tuple.of(24, Kind.PROPOSE),
                        Tuple.of(6, Kind.READ),
                        Tuple.of(5, Kind.SNAPSHOT),
                        Tuple.of(6, Kind.CRASH),
                        Tuple.of(14, Kind.START),
                        Tuple.of(3, Kind.PAUSE),
                        Tuple.of(6, Kind.RESUME),
                        Tuple.of(4, Kind.CUT_ONE_WAY),
                        Tuple.of(2, Kind.ISOLATE),
                        Tuple.of(3, Kind.PARTITION),
                        Tuple.of(6, Kind.HEAL),
                        Tuple.of(2, Kind.LOSS),
                        Tuple.of(4, Kind.ADD_LEARNER),
                        Tuple.of(6, Kind.PROMOTE),
                        Tuple.of(3, Kind.REMOVE),
                        Tuple.of(2, Kind.TRANSFER),
                        Tuple.of(1, Kind.LOSE_DISK)));
    }

    private static Arbitrary<List<FuzzAction>> lists(int length, Arbitrary<Kind> kinds) {
        Arbitrary<Integer> any = Arbitraries.integers().between(0, 63).withoutEdgeCases();
        Arbitrary<Integer> time =
                Arbitraries.frequencyOf(
                        Tuple.of(8, Arbitraries.integers().between(0, 30)),
                        Tuple.of(2, Arbitraries.integers().between(30, 400)));
        return Combinators.combine(kinds.withoutEdgeCases(), any, any, time.withoutEdgeCases())
                .as(FuzzAction::new)
                .list()
                .ofSize(length);
    }

    void run(Simulation sim) {
        SimulatedNode node = sim.node(a);
        switch (kind) {
            case PROPOSE -> sim.nodes.forEach(n -> proposeIfLeader(sim, n));
            case READ -> sim.nodes.forEach(sim::read);
            case SNAPSHOT -> sim.takeSnapshot(node);
            case CRASH -> sim.crash(node);
            case START -> sim.start(node);
            case PAUSE -> sim.pause(node);
            case RESUME -> sim.resume(node);
            case CUT_ONE_WAY -> sim.cutLink(node, sim.node(b));
            case ISOLATE -> sim.isolate(node);
            case PARTITION -> sim.partition(b);
            case HEAL -> sim.heal();
            case LOSS -> sim.lose(b);
            case ADD_LEARNER -> sim.change(new ReplicaChange.AddLearner(node.id));
            case PROMOTE -> sim.change(new ReplicaChange.Promote(node.id));
            case REMOVE -> sim.change(new ReplicaChange.Remove(node.id));
            case TRANSFER ->
                    sim.nodes.forEach(n -> sim.input(n, new ReplicaInput.TransferLeadership()));
            case LOSE_DISK -> sim.loseDisk(node);
            case LOSE_POWER -> sim.losePower(node);
            case LOSE_POWER_EVERYWHERE -> sim.nodes.forEach(sim::losePower);
            case KILL_ALL -> sim.nodes.forEach(sim::crash);
            case START_ALL -> sim.nodes.forEach(sim::start);
            case REFUSE_DISK -> sim.refuseDisk(node);
            default -> sim.run(millis);
        }
        sim.run(millis);
    }

    private void proposeIfLeader(Simulation sim, SimulatedNode node) {
        if (node.isUp() && node.replica.role() == Role.LEADER) {
            sim.propose(node, 1 + b % 8);
        }
    }
}
