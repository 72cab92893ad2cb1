package io.siskintrail.internal.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import net.jqwik.api.RandomGenerator;

/** A random run that a seed determines. */
final class FuzzRun {
    private static final int GENERATOR_SIZE = 1000;
    private static final long START_MILLIS = 500;

    private FuzzRun() {}

    /** Runs {@code count} random actions and returns the steps that the replicas took. */
    static long run(int voters, int count, long seed, Supplier<SafetyRules> rules) {
        RandomGenerator<List<FuzzAction>> lists = FuzzAction.lists(count).generator(GENERATOR_SIZE);
        return run(voters, seed, lists.next(new Random(seed)).value(), rules);
    }

    /** Runs {@code actions} on a simulation seeded with {@code seed}. */
    static long run(int voters, long seed, List<FuzzAction> actions, Supplier<SafetyRules> rules) {
        Simulation sim = new Simulation(voters, 1, seed, rules);
        sim.run(START_MILLIS);
        return run(sim, actions);
    }

    /** Runs {@code actions} on replicas that never act on a lease. */
    static long runWithoutLeases(int voters, long seed, List<FuzzAction> actions) {
        Simulation sim = Simulation.withoutLeases(voters, 1, seed);
        sim.run(START_MILLIS);
        return run(sim, actions);
    }

    /** Runs {@code actions} on replicas without leases and on the stores of production. */
    static long runOnStores(int voters, long seed, List<FuzzAction> actions) {
        Simulation sim = Simulation.onStores(voters, 1, seed);
        sim.run(START_MILLIS);
        return run(sim, actions);
    }

    /** Runs {@code count} random faults of processes, disks and power on the same. */
    static long runOnStores(int voters, int count, long seed) {
        RandomGenerator<List<FuzzAction>> lists =
                FuzzAction.listsOfDiskFaults(count).generator(GENERATOR_SIZE);
        return runOnStores(voters, seed, lists.next(new Random(seed)).value());
    }

    /**
     * Follows figure 8 of the Raft paper: a leader brings an entry of an old term to a majority and
     * is lost at the moment when it counts as committed; then the replica with the newer, shorter
     * log campaigns.
     */
    static void figureEight(long seed, Supplier<SafetyRules> rules) {
        Simulation sim = Simulation.figureEight(seed, rules);
        sim.crash(sim.node(3));
        sim.crash(sim.node(4));
        for (int i = 0; i < START_MILLIS && sim.oracle.committedIndex() < 2; i++) {
            sim.run(1);
        }
        sim.isolate(sim.node(0));
        sim.isolate(sim.node(1));
        sim.start(sim.node(3));
        sim.start(sim.node(4));
        sim.run(2 * START_MILLIS);
        sim.recover();
    }

    /**
     * Hides the leader from one voter, which then campaigns, and the third voter from the leader.
     * If {@code restarts}, the third voter restarts when it is asked for its vote.
     */
    static void hideLeader(long seed, boolean restarts, Supplier<SafetyRules> rules) {
        Simulation sim = new Simulation(3, 0, seed, rules);
        SimulatedNode leader = leaderOf(sim);
        int number = sim.nodes.indexOf(leader);
        SimulatedNode rival = sim.node(number + 1);
        SimulatedNode third = sim.node(number + 2);
        sim.cutLink(leader, rival);
        for (int i = 0; i < START_MILLIS && rival.replica.role() == Role.FOLLOWER; i++) {
            sim.run(1);
        }
        if (restarts) {
            sim.crash(third);
            sim.start(third);
        }
        sim.cutLink(leader, third);
        sim.cutLink(third, leader);
        sim.run(START_MILLIS);
        sim.recover();
    }

    /** Cuts the leader and one voter off from three others, then removes those one by one. */
    static void removeMajority(long seed, Supplier<SafetyRules> rules) {
        Simulation sim = new Simulation(5, 0, seed, rules);
        int leader = sim.nodes.indexOf(leaderOf(sim));
        sim.partition(1 << leader | 1 << (leader + 1) % 5);
        for (int i = 2; i < 5; i++) {
            sim.change(new ReplicaChange.Remove(sim.node(leader + i).id));
        }
        sim.propose(sim.node(leader), 1);
        sim.run(START_MILLIS);
        sim.recover();
    }

    private static SimulatedNode leaderOf(Simulation sim) {
        Optional<SimulatedNode> leader = Optional.empty();
        while (leader.isEmpty()) {
            sim.run(10);
            leader = sim.nodes.stream().filter(sim::holdsLease).findFirst();
        }
        return leader.get();
    }

    private static long run(Simulation sim, List<FuzzAction> actions) {
        actions.forEach(a -> a.run(sim));
        sim.recover();
        return sim.steps();
    }
}
