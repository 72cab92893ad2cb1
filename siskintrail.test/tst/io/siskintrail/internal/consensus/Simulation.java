package io.siskintrail.internal.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Supplier;

/** Several replicas in virtual time on a network and on disks that fail. */
final class Simulation {
    static final ReplicaSettings SETTINGS =
            new ReplicaSettings(20, 100, 80, 4, 8, 12, 7, 3, 20, 60);
    private static final ReplicaSettings NO_LEASES =
            new ReplicaSettings(20, 100, 0, 4, 8, 12, 7, 3, 20, 60);
    private static final ReplicaSettings ONE_BY_ONE =
            new ReplicaSettings(20, 100, 80, 1, 64, 12, 7, 3, 1 << 10, 1 << 10);
    private static final long TICK_MILLIS = 10;
    private static final int PERCENT = 100;

    final List<SimulatedNode> nodes = new ArrayList<>();
    final Oracle oracle = new Oracle();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<String> cut = new HashSet<>();
    private final Map<Long, Long> reads = new HashMap<>();
    private final SplittableRandom random;
    private final Supplier<SafetyRules> rules;
    private final ReplicaSettings settings;
    private final Function<Snapshot, NodeDisk> disks;
    private long now;
    private long sequence;
    private long token;
    private int lossPercent;
    private boolean calm;
    private long steps;

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    Simulation(int voters, int spares, long seed, Supplier<SafetyRules> rules) {
        this(voters, spares, seed, rules, SETTINGS, SimulatedDisk::new);
        nodes.forEach(this::start);
    }

    /** Starts replicas that never act on a lease, like those of a registry. */
    static Simulation withoutLeases(int voters, int spares, long seed) {
        return withoutLeases(voters, spares, seed, SimulatedDisk::new);
    }

    /** Starts replicas without leases whose disks hold the files of the store in production. */
    static Simulation onStores(int voters, int spares, long seed) {
        return withoutLeases(voters, spares, seed, StoredDisk::new);
    }

    private static Simulation withoutLeases(
            int voters, int spares, long seed, Function<Snapshot, NodeDisk> disks) {
        Simulation sim = new Simulation(voters, spares, seed, SafetyRules::new, NO_LEASES, disks);
        sim.nodes.forEach(sim::start);
        return sim;
    }

    private Simulation(
            int voters,
            int spares,
            long seed,
            Supplier<SafetyRules> rules,
            ReplicaSettings settings,
            Function<Snapshot, NodeDisk> disks) {
        this.disks = disks;
        this.random = new SplittableRandom(seed);
        this.rules = rules;
        this.settings = settings;
        Set<ReplicaId> set = new HashSet<>();
        for (int i = 0; i < voters; i++) {
            set.add(id(i, 1));
        }
        Snapshot initial = Snapshot.initial(ReplicaSet.ofVoters(set));
        for (int i = 0; i < voters + spares; i++) {
            add(id(i, 1), i < voters ? initial : Snapshot.EMPTY);
        }
    }

    /** Starts from state (b) of figure 8 of the Raft paper: an old entry on two of five disks. */
    static Simulation figureEight(long seed, Supplier<SafetyRules> rules) {
        Simulation sim = new Simulation(5, 0, seed, rules, ONE_BY_ONE, SimulatedDisk::new);
        LogEntry first = command(1, 1);
        LogEntry old = command(2, 2);
        sim.nodes.get(0).disk.preset(new HardState(3, null), List.of(first, old));
        sim.nodes.get(1).disk.preset(new HardState(3, null), List.of(first, old));
        sim.nodes.get(2).disk.preset(new HardState(3, null), List.of(first));
        sim.nodes.get(3).disk.preset(new HardState(3, null), List.of(first));
        sim.nodes.get(4).disk.preset(new HardState(3, id(4, 1)), List.of(first, command(3, 2)));
        sim.nodes.forEach(sim::start);
        return sim;
    }

    private static LogEntry command(long term, long index) {
        Payload payload = Payload.wrap(("t" + term).getBytes());
        return new LogEntry(new LogPosition(term, index), 0, new EntryBody.Command(payload));
    }

    long steps() {
        return steps;
    }

    SimulatedNode node(int number) {
        return nodes.get(Math.floorMod(number, nodes.size()));
    }

    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            now = e.at();
            e.action().run();
            checkLease();
        }
        now = end;
        checkLease();
    }

    void crash(SimulatedNode node) {
        if (node.isUp()) {
            node.disk.kill(random);
            end(node);
        }
    }

    /** Ends the process, if there is one, with all that its disk has not synced. */
    void losePower(SimulatedNode node) {
        if (!node.lost) {
            node.disk.losePower(random);
            end(node);
        }
    }

    /** Lets the disk refuse changes; the replica begins anew with its next sync. */
    void refuseDisk(SimulatedNode node) {
        if (node.isUp()) {
            node.disk.refuse(random);
        }
    }

    private static void end(SimulatedNode node) {
        node.replica = null;
        node.generation++;
        node.unsyncedTaken = 0;
        node.syncReadyAt = 0;
        node.paused = false;
        node.whilePaused.clear();
    }

    void start(SimulatedNode node) {
        if (node.isUp() || node.lost) {
            return;
        }
        StoredState stored = node.disk.open(random);
        if (stored == null) {
            return;
        }
        node.replica = new Replica(node.id, settings, rules.get(), stored, random.nextLong());
        assertWithMessage("stored snapshot of %s", node.id)
                .that(node.restore(stored.snapshot(), oracle))
                .isTrue();
        tickLater(node, node.generation);
    }

    void pause(SimulatedNode node) {
        node.paused = node.isUp();
    }

    void resume(SimulatedNode node) {
        node.paused = false;
        List<Runnable> waiting = new ArrayList<>(node.whilePaused);
        node.whilePaused.clear();
        waiting.forEach(Runnable::run);
    }

    /** Replaces the disk if the others can go on without it. */
    void loseDisk(SimulatedNode node) {
        if (node.lost) {
            return;
        }
        List<ReplicaSet> sets = replicaSets();
        node.lost = true;
        if (!sets.stream().allMatch(this::survives)) {
            node.lost = false;
            return;
        }
        replaceDisk(node);
    }

    /** Loses the disk for ever; a blank one takes the host's place. */
    void replaceDisk(SimulatedNode node) {
        node.lost = true;
        crash(node);
        int host = Integer.parseInt(node.id.host().value().substring(1));
        add(id(host, nodes.size()), Snapshot.EMPTY);
        start(nodes.get(nodes.size() - 1));
    }

    long now() {
        return now;
    }

    long leaderSilentMillis(SimulatedNode node) {
        return node.replica.leaderSilentMillis(node.clock(now));
    }

    boolean holdsLease(SimulatedNode node) {
        return node.holdsLease(now);
    }

    void cutLink(SimulatedNode from, SimulatedNode to) {
        cut.add(link(from.id, to.id));
    }

    void isolate(SimulatedNode node) {
        for (SimulatedNode other : nodes) {
            cutLink(node, other);
            cutLink(other, node);
        }
    }

    void partition(int mask) {
        for (int i = 0; i < nodes.size(); i++) {
            for (int j = 0; j < nodes.size(); j++) {
                if ((mask >> i & 1) != (mask >> j & 1)) {
                    cutLink(nodes.get(i), nodes.get(j));
                }
            }
        }
    }

    void heal() {
        cut.clear();
        lossPercent = 0;
    }

    void lose(int percent) {
        lossPercent = percent;
    }

    void propose(SimulatedNode node, int count) {
        List<ReplicaInput.Proposal> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            token++;
            all.add(new ReplicaInput.Proposal(token, Payload.wrap(("c" + token).getBytes())));
        }
        input(node, new ReplicaInput.Propose(all, random.nextLong(now + 1)));
    }

    /** Asks every node for a change, if the voters it leaves include no hopeless majority. */
    void change(ReplicaChange change) {
        for (SimulatedNode node : nodes) {
            if (node.isUp() && !node.paused && leavesHope(node.replica.replicas(), change)) {
                input(node, new ReplicaInput.ChangeReplicas(change));
            }
        }
    }

    private boolean leavesHope(ReplicaSet set, ReplicaChange change) {
        return change instanceof ReplicaChange.Remove
                ? survives(set.without(change.replica()))
                : !isLost(change.replica());
    }

    void read(SimulatedNode node) {
        token++;
        reads.put(token, oracle.committedIndex());
        input(node, new ReplicaInput.Read(token));
    }

    void takeSnapshot(SimulatedNode node) {
        if (node.isUp() && !node.paused) {
            input(node, new ReplicaInput.SnapshotTaken(node.applied, node.image(oracle)));
        }
    }

    void input(SimulatedNode node, ReplicaInput input) {
        if (!node.isUp()) {
            return;
        }
        if (node.paused) {
            int generation = node.generation;
            node.whilePaused.add(() -> inputIf(node, generation, input));
            return;
        }
        steps++;
        List<ReplicaEffect> effects = node.replica.step(node.clock(now), input);
        effects.forEach(e -> carryOut(node, e));
    }

    /** Returns whether a node holds the lease or, where there are none, leads. */
    private boolean leads(SimulatedNode node) {
        return settings.leaseMillis() > 0
                ? node.holdsLease(now)
                : !node.lost && node.replica.role() == Role.LEADER;
    }

    /** Repairs everything that can be repaired and expects the log to move on everywhere. */
    void recover() {
        heal();
        calm = true;
        nodes.forEach(this::resume);
        nodes.forEach(n -> n.disk.repair());
        while (nodes.stream().anyMatch(n -> !n.isUp() && !n.lost)) {
            nodes.forEach(this::start);
        }
        run(3_000);
        nodes.forEach(n -> propose(n, 1));
        run(1_000);
        long leaders = nodes.stream().filter(this::leads).count();
        assertWithMessage("leaders after repair of %s", nodes).that(leaders).isEqualTo(1);
        SimulatedNode leader = nodes.stream().filter(this::leads).findFirst().orElseThrow();
        for (SimulatedNode node : nodes) {
            if (!node.lost && leader.replica.replicas().contains(node.id)) {
                assertWithMessage("entries applied by %s after repair of %s", node.id, nodes)
                        .that(node.applied)
                        .isEqualTo(oracle.committedIndex());
            }
        }
    }

    private void add(ReplicaId id, Snapshot snapshot) {
        double clockRate = 0.98 + 0.04 * random.nextDouble();
        nodes.add(new SimulatedNode(id, disks.apply(snapshot), clockRate));
    }

    private static ReplicaId id(int host, long disk) {
        return new ReplicaId(new HostId("h" + host), disk);
    }

    private List<ReplicaSet> replicaSets() {
        List<ReplicaSet> sets = new ArrayList<>();
        for (SimulatedNode node : nodes) {
            if (!node.lost) {
                sets.addAll(setsOf(new RaftLog(node.disk.peek())));
            }
            if (!node.lost && node.isUp()) {
                sets.addAll(setsOf(node.replica.log()));
            }
        }
        return sets;
    }

    private static Collection<ReplicaSet> setsOf(RaftLog log) {
        return log.replicaSetsFrom(log.snapshot().position().index());
    }

    private boolean survives(ReplicaSet set) {
        return set.voters().isEmpty() || set.hasQuorum(id -> !isLost(id));
    }

    private boolean isLost(ReplicaId id) {
        return nodes.stream().anyMatch(n -> n.lost && n.id.equals(id));
    }

    private void carryOut(SimulatedNode node, ReplicaEffect effect) {
        if (effect instanceof ReplicaEffect.Persist p) {
            node.disk.write(p);
        } else if (effect instanceof ReplicaEffect.Sync s) {
            syncLater(node, s.number());
        } else if (effect instanceof ReplicaEffect.Send s) {
            oracle.sends(node.id, s.to(), s.message());
            send(node.id, s.to(), s.message());
        } else if (effect instanceof ReplicaEffect.Commit c) {
            for (LogEntry entry : c.entries()) {
                oracle.sees(node.id, node.replica.term(), node.applied, entry);
                node.applied = entry.index();
            }
        } else if (effect instanceof ReplicaEffect.Restore r) {
            assertWithMessage("snapshot sent to %s", node.id)
                    .that(node.restore(r.snapshot(), oracle))
                    .isTrue();
        } else if (effect instanceof ReplicaEffect.RoleChanged r && r.role() == Role.LEADER) {
            oracle.leads(node.id, node.replica);
        } else if (effect instanceof ReplicaEffect.ReadReady r) {
            assertWithMessage("index of a read on %s", node.id)
                    .that(r.index())
                    .isAtLeast(reads.get(r.token()));
        }
    }

    private void syncLater(SimulatedNode node, long number) {
        int generation = node.generation;
        int count = node.disk.unsyncedCount();
        int already = node.unsyncedTaken;
        long delay = isSlow(20) ? random.nextInt(300) : random.nextInt(5);
        node.syncReadyAt = Math.max(node.syncReadyAt, now + delay);
        node.unsyncedTaken = count;
        at(
                node.syncReadyAt,
                () -> {
                    if (node.generation != generation) {
                        return;
                    }
                    if (!node.disk.sync(count - already)) {
                        crash(node);
                        return;
                    }
                    node.unsyncedTaken -= count - already;
                    inputIf(node, generation, new ReplicaInput.Synced(number));
                });
    }

    private void send(ReplicaId from, ReplicaId to, ConsensusMessage message) {
        if (random.nextInt(PERCENT) < lossPercent) {
            return;
        }
        int copies = random.nextInt(30) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = isSlow(50) ? random.nextInt(600) : 1 + random.nextInt(6);
            at(now + delay, () -> deliver(from, to, message));
        }
    }

    private boolean isSlow(int oneIn) {
        return !calm && random.nextInt(oneIn) == 0;
    }

    private void deliver(ReplicaId from, ReplicaId to, ConsensusMessage message) {
        if (cut.contains(link(from, to))) {
            return;
        }
        for (SimulatedNode node : nodes) {
            if (node.id.equals(to)) {
                input(node, new ReplicaInput.Received(from, message));
            }
        }
    }

    private static String link(ReplicaId from, ReplicaId to) {
        return from + ">" + to;
    }

    private void tickLater(SimulatedNode node, int generation) {
        at(
                now + TICK_MILLIS,
                () -> {
                    if (node.generation == generation) {
                        if (!node.paused) {
                            input(node, new ReplicaInput.Tick());
                        }
                        tickLater(node, generation);
                    }
                });
    }

    private void inputIf(SimulatedNode node, int generation, ReplicaInput input) {
        if (node.generation == generation) {
            input(node, input);
        }
    }

    private void at(long when, Runnable action) {
        sequence++;
        events.add(new Event(when, sequence, action));
    }

    private void checkLease() {
        long holders = nodes.stream().filter(n -> n.holdsLease(now)).count();
        assertWithMessage("lease holders at %s ms", now).that(holders).isAtMost(1);
    }
}
