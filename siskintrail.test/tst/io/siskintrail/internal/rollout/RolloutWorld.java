package io.siskintrail.internal.rollout;

import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/** One rollout in virtual time: 61 hosts, one leader at a time, lost and late messages. */
final class RolloutWorld {
    static final int HOSTS = 61;
    static final long DEADLINE = 12_000;

    private static final long END = DEADLINE + 8_000;
    private static final int NEW_ENDPOINTS = 12;
    private static final int OLD_ENDPOINTS = 24;
    private static final int DOMAINS = 3;
    private static final RolloutSettings SETTINGS = RolloutSettings.DEFAULT;
    private static final long ROLLBACK_MILLIS = 5_000;
    private static final long START_MILLIS = 1_000;

    /** The load of a service; streams run for some seconds after their first event. */
    enum Load {
        CALLS(156, 42.9, 0),
        STREAMS(27, 1_200, 5_000);

        final double perSecond;
        final double medianMillis;
        final long runMillis;

        Load(double perSecond, double medianMillis, long runMillis) {
            this.perSecond = perSecond;
            this.medianMillis = medianMillis;
            this.runMillis = runMillis;
        }
    }

    /** Faults that a test puts in, to show that the checks find them. */
    static final class Tampering {
        UnaryOperator<RolloutLease> lease = l -> l;
        UnaryOperator<RolloutReport> report = r -> r;
        Function<RolloutDecision, RolloutState> decision = RolloutDecision::state;
    }

    private record Event(long at, long order, Runnable action) {}

    private record Open(RolloutCell cell, long sentAt, long order) {}

    private static final class Node {
        final Set<Open> open = new HashSet<>();
        final String name;
        RolloutShare share;
        long incarnation;
        long startedAt = Long.MIN_VALUE / 2;
        long openOld;
        long cutUntil;
        long lastContact;
        boolean knowsEnd;

        Node(String name) {
            this.name = name;
        }
    }

    private final RolloutKind kind;
    private final Load load;
    private final Tampering tampering;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private final List<Node> nodes = new ArrayList<>();
    private final long faultFrom;
    private long now;
    private long eventCount;
    private RolloutController leader;
    private boolean leaderUp = true;
    private RolloutState state = RolloutState.RUNNING;
    private long endedAt = Long.MAX_VALUE;
    private String evidence = "";
    private int badAnswers;
    private long fiftiethBadAt = Long.MAX_VALUE;
    private double newLoad;
    private long lastDisturbance;
    private final List<String> violations = new ArrayList<>();
    private long requests;
    private long exposed;

    RolloutWorld(long seed, RolloutKind kind, Load load, boolean faults, Tampering tampering) {
        this.kind = kind;
        this.load = load;
        this.tampering = tampering;
        random = new SplittableRandom(seed);
        faultFrom = (long) (DEADLINE * (0.5 + 0.3 * random.nextDouble()));
        for (int i = 0; i < HOSTS; i++) {
            Node node = new Node("h" + i);
            restart(node);
            nodes.add(node);
            at(random.nextInt(200), () -> report(node));
        }
        leader = newLeader(-RolloutController.LEASE_MILLIS);
        at(1, this::arrive);
        at(100, this::decide);
        if (faults) {
            for (int i = 0; i < 3; i++) {
                at(random.nextLong(DEADLINE), () -> restart(anyNode()));
                at(random.nextLong(DEADLINE), this::cutOff);
            }
            if (random.nextInt(2) == 0) {
                at(random.nextLong(DEADLINE), this::loseLeader);
            }
        }
    }

    /** Runs to the end and returns the violated checks. */
    List<String> run() {
        while (!events.isEmpty() && events.peek().at <= END) {
            Event e = events.poll();
            now = e.at;
            e.action.run();
        }
        check(state != RolloutState.RUNNING, "no decision");
        check(!kind.bad || isWrong() || exposed <= 0.1 * requests + 50, "exposure " + exposed);
        return violations;
    }

    /** Returns whether the version was judged wrongly, or too late without a cause. */
    boolean isWrong() {
        boolean quiet = lastDisturbance < DEADLINE - 5_000;
        boolean right = state == (kind.bad ? RolloutState.ROLLED_BACK : RolloutState.COMPLETED);
        return !right || !kind.bad && quiet && endedAt > DEADLINE;
    }

    /** Returns the decision with its evidence and time. */
    String outcome() {
        return state + " at=" + endedAt + " exposed=" + exposed + " " + evidence;
    }

    private void check(boolean holds, String text) {
        if (!holds && !violations.contains(text)) {
            violations.add(text);
        }
    }

    private void at(long delay, Runnable action) {
        events.add(new Event(now + delay, eventCount++, action));
    }

    /** Returns whether the new version replaced the old one. */
    boolean isCompleted() {
        return state == RolloutState.COMPLETED;
    }

    private Node anyNode() {
        return nodes.get(random.nextInt(HOSTS));
    }

    private RolloutController newLeader(long grantsFrom) {
        Rollout rollout =
                new Rollout(new ServiceName("calls"), "v2", DEADLINE, RolloutState.RUNNING);
        return new RolloutController(rollout, SETTINGS, 0, grantsFrom);
    }

    private void restart(Node node) {
        node.incarnation++;
        node.openOld = 0;
        node.open.clear();
        node.startedAt = now;
        node.share = new RolloutShare(node.name, node.incarnation);
    }

    private void cutOff() {
        Node node = anyNode();
        node.cutUntil = now + random.nextLong(500, 7_000);
        lastDisturbance = Math.max(lastDisturbance, node.cutUntil);
    }

    private void loseLeader() {
        leaderUp = false;
        lastDisturbance = Math.max(lastDisturbance, now);
        at(
                random.nextLong(200, 1_200),
                () -> {
                    leader = newLeader(now);
                    leaderUp = true;
                });
    }

    private boolean inContact(Node node) {
        return now - node.lastContact <= SETTINGS.contactMillis();
    }

    /** Whether a host was heard after it was cut off, and did not just start. */
    private boolean isConnected(Node node) {
        return inContact(node)
                && node.cutUntil < Math.min(now - START_MILLIS, node.lastContact)
                && now - node.startedAt > START_MILLIS;
    }

    private void report(Node node) {
        at(node.share.reportMillis(now) - 20 + random.nextInt(40), () -> report(node));
        RolloutReport report = node.share.report(now, node.openOld, open(node));
        int copies = random.nextInt(100) < 5 ? 0 : random.nextInt(100) < 5 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = random.nextInt(10, 120) + (random.nextInt(100) < 3 ? 900 : 0);
            at(delay, () -> deliver(node, report));
        }
    }

    private Map<RolloutCell, RolloutCount> open(Node node) {
        Map<RolloutCell, RolloutCount> open = new HashMap<>();
        node.open.forEach(
                (o) -> {
                    RolloutCount before = open.getOrDefault(o.cell, RolloutCount.NONE);
                    open.put(o.cell, before.withAnswer(now - o.sentAt));
                });
        return open;
    }

    private void deliver(Node node, RolloutReport report) {
        if (now < node.cutUntil) {
            return;
        }
        node.lastContact = now;
        node.knowsEnd |= state != RolloutState.RUNNING;
        if (!leaderUp) {
            return;
        }
        leader.onReport(now, tampering.report.apply(report))
                .ifPresent(
                        lease ->
                                at(
                                        random.nextInt(10, 120),
                                        () -> {
                                            if (now >= node.cutUntil) {
                                                node.share.accept(tampering.lease.apply(lease));
                                            }
                                        }));
    }

    private void decide() {
        if (state != RolloutState.RUNNING) {
            return;
        }
        at(100, this::decide);
        if (!leaderUp) {
            return;
        }
        Set<String> contacts = new HashSet<>();
        nodes.stream().filter(this::inContact).forEach(n -> contacts.add(n.name));
        RolloutDecision decision = leader.decide(now, contacts, OLD_ENDPOINTS, NEW_ENDPOINTS);
        if (tampering.decision.apply(decision) == RolloutState.RUNNING) {
            return;
        }
        RolloutController author = leader;
        at(
                random.nextInt(50, 300),
                () -> {
                    if (author == leader && leaderUp && state == RolloutState.RUNNING) {
                        end(decision);
                    }
                });
    }

    private void end(RolloutDecision decision) {
        state = decision.state();
        evidence = decision.evidence();
        endedAt = now;
        for (Node node : nodes) {
            if (state == RolloutState.COMPLETED && isConnected(node)) {
                check(node.openOld == 0, "left at the old version: " + node.openOld);
            }
            at(random.nextInt(10, 300), () -> node.knowsEnd |= now >= node.cutUntil);
        }
    }

    private void arrive() {
        double gap = -Math.log(1 - random.nextDouble()) * 1_000 / load.perSecond;
        at(Math.max(1, Math.round(gap)), this::arrive);
        Node node = anyNode();
        boolean ended = node.knowsEnd;
        boolean useNew = ended ? state == RolloutState.COMPLETED : node.share.sendToNew(now);
        newLoad = newLoad * 0.98 + (useNew ? 0.02 : 0);
        if (now <= DEADLINE) {
            requests++;
            exposed += useNew ? 1 : 0;
        }
        if (useNew) {
            boolean late = fiftiethBadAt != Long.MAX_VALUE && now > fiftiethBadAt + ROLLBACK_MILLIS;
            check(!kind.bad || isCompleted() || !late, "sent after the 50th bad answer");
            boolean alone =
                    now - node.lastContact > SETTINGS.contactMillis() && now < node.cutUntil;
            check(ended || !alone, "host out of contact sent to the new version");
        } else {
            boolean stopped = state == RolloutState.COMPLETED;
            check(!stopped || !isConnected(node), "sent to the old version after completion");
        }
        serve(node, useNew);
    }

    private void serve(Node node, boolean useNew) {
        int draw = random.nextInt(10);
        int route = draw < 5 ? 0 : draw < 8 ? 1 : 2;
        int endpoint = random.nextInt(useNew ? NEW_ENDPOINTS : OLD_ENDPOINTS);
        int domain = endpoint % DOMAINS;
        boolean shows = useNew && kind.bad && kind.shows(route, now >= faultFrom, newLoad > 0.3);
        double latency = load.medianMillis * Math.exp(0.35 * random.nextGaussian());
        long period = now / 600 * 31 + endpoint * 7919L + (useNew ? 13 : 0);
        if (new SplittableRandom(period).nextInt(100) < 15) {
            latency *= 2.5;
        }
        boolean slow = shows && kind.slowdown() > 1 && random.nextDouble() < kind.slowPart();
        latency *= slow ? kind.slowdown() : 1;
        boolean fails = random.nextDouble() < 0.002 || shows && draw(kind.failureRate());
        fails |= kind == RolloutKind.FEW_BAD_ANSWERS && useNew && draw(0.008);
        fails |= kind == RolloutKind.NEW_ENDPOINT_FAILS && useNew && endpoint == 5 && draw(0.7);
        fails |= kind == RolloutKind.OLD_ENDPOINT_FAILS && !useNew && endpoint == 5 && draw(0.7);
        if (kind == RolloutKind.DOMAINS_LOST
                && (now + 3_000) % 6_500 < 1_200
                && domain == now / 6_500 % DOMAINS
                && draw(0.9)) {
            fails |= draw(0.5);
            latency += 250;
        }
        finish(
                node,
                new RolloutCell("r" + route, useNew, "d" + domain, useNew ? "n" + endpoint : ""),
                (long) latency,
                fails,
                slow);
    }

    private boolean draw(double probability) {
        return random.nextDouble() < probability;
    }

    private void finish(Node node, RolloutCell cell, long latency, boolean fails, boolean slow) {
        long incarnation = node.incarnation;
        boolean old = !cell.newVersion();
        if (old) {
            node.openOld++;
            leaveOld(node, incarnation, now + latency + (fails ? 0 : load.runMillis));
        }
        Open open = new Open(cell, now, eventCount++);
        node.open.add(open);
        at(
                fails ? Math.min(latency, 300) : latency,
                () -> {
                    if (node.incarnation != incarnation) {
                        return;
                    }
                    node.open.remove(open);
                    if (fails) {
                        node.share.recordFailure(cell);
                    } else {
                        node.share.recordAnswer(cell, latency);
                    }
                    if (!old && (fails || slow) && inContact(node) && ++badAnswers == 50) {
                        fiftiethBadAt = now;
                    }
                });
    }

    /** Ends a request at the old version at its time, or when it is told to move. */
    private void leaveOld(Node node, long incarnation, long endsAt) {
        if (node.incarnation != incarnation) {
            return;
        }
        if (now >= endsAt || load.runMillis > 0 && node.share.mustMoveRunning(now)) {
            node.openOld--;
        } else {
            at(Math.min(50, endsAt - now), () -> leaveOld(node, incarnation, endsAt));
        }
    }
}
