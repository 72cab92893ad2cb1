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
        LOSE_DISK
    }

    static Arbitrary<List<FuzzAction>> lists(int length) {
        Arbitrary<Kind> kinds =
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
                        Tuple.of(1, Kind.LOSE_DISK));
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
