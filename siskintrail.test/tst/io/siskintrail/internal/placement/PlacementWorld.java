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

/**
 * Simulates three controllers, whose leases never overlap, and engines that load weights slowly.
 * Records a violation when a controller or an engine breaks an invariant.
 */
final class PlacementWorld {
    static final int MAX_LOADS = 3;
    static final long LOAD_GAP_MILLIS = 50;
    private static final int ENGINES = 12;
    private static final int CONTROLLERS = 3;
    private static final long LEASE_MILLIS = 300;
    private static final long MAX_TRANSIT_MILLIS = 1_500;
    private static final long LOAD_MILLIS = 500;
    private static final long STEP_MILLIS = 10;
    private static final long POLL_MILLIS = 100;

    private final SplittableRandom random;
    private final boolean ignoresLease;
    private final List<PlacementController> controllers = new ArrayList<>();
    private final boolean[] paused = new boolean[CONTROLLERS];
    private final List<Engine> engines = new ArrayList<>();
    private final Set<FailureDomain> lostDomains = new HashSet<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private int leader;
    private long term = 1;
    private long leaseUntilMillis = LEASE_MILLIS;
    private long nowMillis;
    private String violation;

    private record Delivery(long arrivalMillis, Engine engine, EngineOrder order)
            implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            return Long.compare(arrivalMillis, other.arrivalMillis);
        }
    }

    private static final class Engine {
        private final EndpointId id;
        private final FailureDomain domain;
        private final boolean checksFencing;
        private EngineAssignment current;
        private EngineAssignment loading;
        private long loadEndMillis;
        private LogPosition fencingToken = LogPosition.ZERO;

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

    String violation() {
        return violation;
    }

    /** Injects random faults and rule changes for {@code millis} of virtual time. */
    void runWithFaults(long millis) {
        for (long endMillis = nowMillis + millis; nowMillis < endMillis && violation == null; ) {
            advanceTime();
            switch (random.nextInt(120)) {
                case 0 -> paused[random.nextInt(CONTROLLERS)] = true;
                case 1, 2 -> resume(random.nextInt(CONTROLLERS));
                case 3 -> lostDomains.add(new FailureDomain("d" + random.nextInt(3)));
                case 4, 5 -> lostDomains.clear();
                case 6 -> setRules(1 + random.nextInt(5), 1 + random.nextInt(4));
                default -> {}
            }
        }
    }

    /** Ends all faults, runs for {@code millis} and returns whether the engines match the rules. */
    boolean recovers(long millis) {
        lostDomains.clear();
        setRules(5, 4);
        for (int i = 0; i < CONTROLLERS; i++) {
            resume(i);
        }
        for (long endMillis = nowMillis + millis; nowMillis < endMillis && violation == null; ) {
            advanceTime();
        }
        return countEngines("a") >= 5 && countEngines("b") >= 4;
    }

    private void advanceTime() {
        nowMillis += STEP_MILLIS;
        renewOrGrantLease();
        for (Engine engine : engines) {
            if (engine.loading != null && nowMillis >= engine.loadEndMillis) {
                engine.current = engine.loading;
                engine.loading = null;
            }
        }
        while (!deliveries.isEmpty() && deliveries.peek().arrivalMillis() <= nowMillis) {
            deliverOrder(deliveries.poll());
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            if (!paused[i]) {
                runController(i);
            }
        }
    }

    /** Renews the lease of a running leader; grants it to another one only after it has expired. */
    private void renewOrGrantLease() {
        boolean renewsLease = !paused[leader] && random.nextInt(600) > 0;
        if (renewsLease && nowMillis < leaseUntilMillis) {
            leaseUntilMillis = nowMillis + LEASE_MILLIS;
            long announcedUntil = ignoresLease ? Long.MAX_VALUE : leaseUntilMillis;
            step(
                    leader,
                    new PlacementInput.Leading(new LogPosition(term, term * 10), announcedUntil));
        } else if (nowMillis >= leaseUntilMillis) {
            int candidate = random.nextInt(CONTROLLERS);
            if (!paused[candidate]) {
                leader = candidate;
                term++;
                leaseUntilMillis = nowMillis + LEASE_MILLIS;
            }
        }
    }

    private void runController(int controller) {
        if (nowMillis % POLL_MILLIS == 0) {
            for (Engine engine : engines) {
                if (!lostDomains.contains(engine.domain)) {
                    step(controller, new PlacementInput.Reported(engine.report()));
                }
            }
        }
        step(controller, new PlacementInput.Tick());
    }

    private void resume(int controller) {
        paused[controller] = false;
        step(controller, new PlacementInput.Tick());
    }

    private void step(int controller, PlacementInput input) {
        for (EngineOrder order : controllers.get(controller).step(nowMillis, input)) {
            boolean holdsLease = controller == leader && nowMillis < leaseUntilMillis;
            if (!holdsLease) {
                violation = "controller %d sent an order without a lease".formatted(controller);
            }
            Engine engine =
                    engines.stream()
                            .filter(candidate -> candidate.id.equals(order.engine()))
                            .findAny()
                            .orElseThrow();
            deliveries.add(
                    new Delivery(nowMillis + random.nextLong(MAX_TRANSIT_MILLIS), engine, order));
        }
    }

    private void deliverOrder(Delivery delivery) {
        Engine engine = delivery.engine();
        EngineOrder order = delivery.order();
        if (lostDomains.contains(engine.domain)) {
            return;
        }
        if (order.fencingToken().compareTo(engine.fencingToken) < 0) {
            if (!engine.checksFencing) {
                violation = "engine %s accepted an order of an earlier leader".formatted(engine.id);
            }
            return;
        }
        engine.fencingToken = order.fencingToken();
        if (order.assignment().equals(engine.loading)) {
            return;
        }
        boolean modelLoaded =
                engine.current != null && engine.current.model().equals(order.assignment().model());
        if (modelLoaded) {
            engine.current = order.assignment();
            engine.loading = null;
            return;
        }
        engine.loading = order.assignment();
        engine.loadEndMillis = nowMillis + LOAD_MILLIS;
        long loadsOfLeader =
                engines.stream()
                        .filter(
                                other ->
                                        other.loading != null
                                                && other.fencingToken.equals(order.fencingToken()))
                        .count();
        if (loadsOfLeader > MAX_LOADS) {
            violation = loadsOfLeader + " engines fetch weights for one leader at the same time";
        }
    }

    private long countEngines(String model) {
        return engines.stream()
                .filter(
                        other ->
                                other.current != null
                                        && other.current.model().model().equals(model))
                .count();
    }

    private void setRules(int replicasOfA, int replicasOfB) {
        List<PlacementRule> rules =
                List.of(placementRule("a", replicasOfA), placementRule("b", replicasOfB));
        for (PlacementController controller : controllers) {
            controller.step(nowMillis, new PlacementInput.Rules(rules));
        }
    }

    private static PlacementRule placementRule(String model, int replicas) {
        return new PlacementRule(
                new SourceLine(1, "", "", ""),
                new ModelId(model, "", "1"),
                EngineRole.MIXED,
                replicas,
                Optional.empty());
    }
}
