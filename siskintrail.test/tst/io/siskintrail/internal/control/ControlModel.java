package io.siskintrail.internal.control;

import io.siskintrail.internal.replicated.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What the consensus promises, without how: one committed log, at most one holder of the lease, a
 * new leader that has every committed entry, and proposals that may be lost or committed when their
 * leader goes. The consensus itself is fuzzed by its own tests.
 */
final class ControlModel {
    static final int REPLICAS = 3;
    private static final long LEASE_MILLIS = 600;

    /** What a replica does with the effects of its publisher. */
    interface Outlet {
        void publish(int replica, PublisherEffect effect);
    }

    private final class Replica {
        private final ConfigurationPublisher publisher = publishers.get();
        private final ConfigurationState state = states.get();
        private final long clockOffset = random.nextInt(1_000_000);
        private int appliedEntries;
        private boolean running = true;
    }

    private record Proposal(ConfigurationCommand command, Consumer<ConfigurationAnswer> answer) {}

    private final CurrencyNetwork network;
    private final CurrencyOracle oracle;
    private final SplittableRandom random;
    private final Supplier<ConfigurationPublisher> publishers;
    private final Supplier<ConfigurationState> states;
    private final Outlet outlet;
    private final Replica[] replicas = new Replica[REPLICAS];
    private final List<ConfigurationCommand> log = new ArrayList<>();
    private final List<Proposal> orphans = new ArrayList<>();
    private int leader = -1;
    private long term;
    private long leaseUntil;

    ControlModel(
            CurrencyNetwork network,
            CurrencyOracle oracle,
            SplittableRandom random,
            CurrencyFuzz.Parts parts,
            Outlet outlet) {
        this.network = network;
        this.oracle = oracle;
        this.random = random;
        this.publishers = parts.publisher();
        this.states = parts.state();
        this.outlet = outlet;
        for (int i = 0; i < REPLICAS; i++) {
            replicas[i] = new Replica();
        }
    }

    private boolean hasQuorum(int candidate) {
        int reached = 0;
        for (int i = 0; i < REPLICAS; i++) {
            if (replicas[i].running && network.bothWays(candidate, i)) {
                reached++;
            }
        }
        return replicas[candidate].running && reached > REPLICAS / 2;
    }

    void tick() {
        if (leader >= 0 && hasQuorum(leader)) {
            lease();
        } else if (network.now() >= leaseUntil) {
            elect();
        }
        for (int i = 0; i < REPLICAS; i++) {
            if (replicas[i].running) {
                catchUp(i);
                step(i, new PublisherInput.Tick());
            }
        }
    }

    private void elect() {
        int candidate = random.nextInt(REPLICAS);
        if (!hasQuorum(candidate)) {
            return;
        }
        leader = candidate;
        term++;
        for (Proposal orphan : List.copyOf(orphans)) {
            if (network.chance(50)) {
                log.add(orphan.command());
            }
        }
        orphans.clear();
        applyAll(leader, (command, answer) -> {});
        lease();
    }

    private void lease() {
        leaseUntil = network.now() + LEASE_MILLIS;
        step(leader, new PublisherInput.Leading(leaseUntil + replicas[leader].clockOffset));
    }

    private void catchUp(int replica) {
        if (leader >= 0 && replica != leader && network.connected(leader, replica)) {
            applyAll(replica, (command, answer) -> {});
        }
    }

    private void applyAll(int id, BiConsumer<ConfigurationCommand, ConfigurationAnswer> each) {
        Replica replica = replicas[id];
        while (replica.appliedEntries < log.size()) {
            ConfigurationCommand command = log.get(replica.appliedEntries++);
            LogPosition position = new LogPosition(term, replica.appliedEntries);
            ConfigurationAnswer answer = replica.state.apply(position, 0, command);
            oracle.committed(replica.state.current());
            oracle.accepted(network.now(), replica.state.inForceVersion());
            each.accept(command, answer);
            step(id, new PublisherInput.Committed(replica.state.image()));
        }
    }

    /** Proposes at the leader; the answer comes when the command is committed, or never. */
    void propose(ConfigurationCommand command, Consumer<ConfigurationAnswer> answer) {
        if (leader < 0 || !hasQuorum(leader)) {
            return;
        }
        Proposal proposal = new Proposal(command, answer);
        long atTerm = term;
        network.after(1 + random.nextInt(20), () -> commit(proposal, atTerm));
    }

    private void commit(Proposal proposal, long atTerm) {
        if (atTerm != term || !hasQuorum(leader) || network.now() >= leaseUntil) {
            orphans.add(proposal);
            return;
        }
        log.add(proposal.command());
        applyAll(
                leader,
                (command, answer) -> {
                    if (command == proposal.command()) {
                        proposal.answer().accept(answer);
                    }
                });
    }

    void question(int replica, PublisherInput.Question question) {
        if (replicas[replica].running) {
            step(replica, question);
        }
    }

    private void step(int replica, PublisherInput input) {
        Replica r = replicas[replica];
        for (PublisherEffect effect : r.publisher.step(network.now() + r.clockOffset, input)) {
            outlet.publish(replica, effect);
        }
    }

    void stop(int replica) {
        replicas[replica].running = false;
    }

    void start(int replica) {
        replicas[replica].running = true;
    }

    /** Returns the state of the leader, or of the first replica before there is one. */
    ConfigurationState state() {
        return replicas[Math.max(leader, 0)].state;
    }
}
