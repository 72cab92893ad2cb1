package io.siskintrail.internal.placement;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.rules.EngineRole;
import io.siskintrail.internal.rules.Rule.PlacementRule;
import io.siskintrail.internal.rules.SourceLine;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ModelId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/** Three controllers, whose leases never overlap, before engines that load weights slowly. */
final class PlacementWorld {
    static final int MAX_LOADS = 3;
    static final long LOAD_GAP_MILLIS = 50;
    private static final int ENGINES = 12;
    private static final int CONTROLLERS = 3;
    private static final long LEASE_MILLIS = 300;
    private static final long TRANSIT_MILLIS = 1_500;
    private static final long LOAD_MILLIS = 500;
    private static final long STEP_MILLIS = 10;
    private static final long POLL_MILLIS = 100;

    private final SplittableRandom random;
    private final boolean ignoresLease;
    private final List<PlacementController> controllers = new ArrayList<>();
    private final boolean[] paused = new boolean[CONTROLLERS];
    private final List<Engine> engines = new ArrayList<>();
    private final Set<FailureDomain> lost = new HashSet<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private int leader;
    private long term = 1;
    private long leaseUntil = LEASE_MILLIS;
    private long now;
    private String fault;

    private record Delivery(long at, Engine engine, EngineOrder order)
            implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            return Long.compare(at, other.at);
        }
    }

    private static final class Engine {
        private final EndpointId id;
        private final FailureDomain domain;
        private final boolean checksFencing;
        private Target current;
        private Target loading;
        private long loadedAt;
        private LogPosition fence = LogPosition.ZERO;

        Engine(int number) {
            id = new EndpointId("e" + number);
            domain = new FailureDomain("d" + number % 3);
            checksFencing = number % 2 == 0;
        }

        EngineReport report() {
            return new EngineReport(
                    id, domain, Optional.ofNullable(current), Optional.ofNullable(loading));
        }
    }

    PlacementWorld(long seed, long settleMillis, boolean ignoresLease) {
        random = new SplittableRandom(seed);
        this.ignoresLease = ignoresLease;
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.add(
                    new PlacementController(
                            new PlacementSettings(
                                    MAX_LOADS,
                                    LOAD_GAP_MILLIS,
                                    LOAD_MILLIS,
                                    settleMillis,
                                    250,
                                    900,
                                    350)));
        }
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine(i));
        }
        setRules(4, 3);
    }

    String fault() {
        return fault;
    }

    /** Lets random things happen for {@code millis}. */
    void disturb(long millis) {
        for (long end = now + millis; now < end && fault == null; ) {
            advance();
            switch (random.nextInt(120)) {
                case 0 -> paused[random.nextInt(CONTROLLERS)] = true;
                case 1, 2 -> wake(random.nextInt(CONTROLLERS));
                case 3 -> lost.add(new FailureDomain("d" + random.nextInt(3)));
                case 4, 5 -> lost.clear();
                case 6 -> setRules(1 + random.nextInt(5), 1 + random.nextInt(4));
                default -> {}
            }
        }
    }

    /** Repairs everything and returns whether the engines are as the rules want them. */
    boolean settles(long millis) {
        lost.clear();
        setRules(5, 4);
        for (int i = 0; i < CONTROLLERS; i++) {
            wake(i);
        }
        for (long end = now + millis; now < end && fault == null; ) {
            advance();
        }
        return count("a") >= 5 && count("b") >= 4;
    }

    private void advance() {
        now += STEP_MILLIS;
        elect();
        for (Engine engine : engines) {
            if (engine.loading != null && now >= engine.loadedAt) {
                engine.current = engine.loading;
                engine.loading = null;
            }
        }
        while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
            deliver(deliveries.poll());
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            if (!paused[i]) {
                run(i);
            }
        }
    }

    /** Renews the lease of a leader that runs; gives it to another one only after it has ended. */
    private void elect() {
        boolean renews = !paused[leader] && random.nextInt(600) > 0;
        if (renews && now < leaseUntil) {
            leaseUntil = now + LEASE_MILLIS;
            long told = ignoresLease ? Long.MAX_VALUE : leaseUntil;
            step(leader, new PlacementInput.Leading(new LogPosition(term, term * 10), told));
        } else if (now >= leaseUntil) {
            int next = random.nextInt(CONTROLLERS);
            if (!paused[next]) {
                leader = next;
                term++;
                leaseUntil = now + LEASE_MILLIS;
            }
        }
    }

    private void run(int controller) {
        if (now % POLL_MILLIS == 0) {
            for (Engine engine : engines) {
                if (!lost.contains(engine.domain)) {
                    step(controller, new PlacementInput.Reported(engine.report()));
                }
            }
        }
        step(controller, new PlacementInput.Tick());
    }

    private void wake(int controller) {
        paused[controller] = false;
        step(controller, new PlacementInput.Tick());
    }

    private void step(int controller, PlacementInput input) {
        for (EngineOrder order : controllers.get(controller).step(now, input)) {
            boolean live = controller == leader && now < leaseUntil;
            if (!live) {
                fault = "controller %d orders without a lease".formatted(controller);
            }
            Engine engine =
                    engines.stream()
                            .filter(e -> e.id.equals(order.engine()))
                            .findAny()
                            .orElseThrow();
            deliveries.add(new Delivery(now + random.nextLong(TRANSIT_MILLIS), engine, order));
        }
    }

    private void deliver(Delivery delivery) {
        Engine engine = delivery.engine();
        EngineOrder order = delivery.order();
        if (lost.contains(engine.domain)) {
            return;
        }
        if (order.fence().compareTo(engine.fence) < 0) {
            if (!engine.checksFencing) {
                fault = "engine %s takes an order of an earlier leader".formatted(engine.id);
            }
            return;
        }
        engine.fence = order.fence();
        if (order.target().equals(engine.loading)) {
            return;
        }
        boolean loaded =
                engine.current != null && engine.current.model().equals(order.target().model());
        if (loaded) {
            engine.current = order.target();
            engine.loading = null;
            return;
        }
        engine.loading = order.target();
        engine.loadedAt = now + LOAD_MILLIS;
        long loads =
                engines.stream()
                        .filter(e -> e.loading != null && e.fence.equals(order.fence()))
                        .count();
        if (loads > MAX_LOADS) {
            fault = loads + " engines fetch weights at once for one leader";
        }
    }

    private long count(String model) {
        return engines.stream()
                .filter(e -> e.current != null && e.current.model().model().equals(model))
                .count();
    }

    private void setRules(int a, int b) {
        List<PlacementRule> rules = List.of(rule("a", a), rule("b", b));
        for (PlacementController controller : controllers) {
            controller.step(now, new PlacementInput.Rules(rules));
        }
    }

    private static PlacementRule rule(String model, int replicas) {
        return new PlacementRule(
                new SourceLine(1, "", "", ""),
                new ModelId(model, "", "1"),
                EngineRole.MIXED,
                replicas,
                Optional.empty());
    }
}
