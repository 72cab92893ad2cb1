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
 * Simulates three controllers, whose leases never overlap, and engines that take {@link
 * #LOAD_MILLIS} to load weights. Records a violation when a controller sends an order without a
 * lease, an engine that does not check fencing tokens receives an order of an earlier leader after
 * one of a later leader, or more than {@link #MAX_LOADS} engines load weights for the same leader
 * at the same time.
 */
final class PlacementSimulation {
    static final int MAX_LOADS = 3;
    static final long LOAD_GAP_MILLIS = 50;
    private static final int ENGINES = 12;
    private static final int CONTROLLERS = 3;
    private static final long LEASE_MILLIS = 300;
    private static final long MAX_TRANSIT_MILLIS = 1_500;
    private static final long LOAD_MILLIS = 500;
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_INTERVAL_MILLIS = 100;

    private final SplittableRandom random;
    private final boolean controllersIgnoreLease;
    private final List<PlacementController> controllers = new ArrayList<>();
    private final boolean[] paused = new boolean[CONTROLLERS];
    private final List<Engine> engines = new ArrayList<>();
    private final Set<FailureDomain> unreachableDomains = new HashSet<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();

    /** The index of the controller that was last granted the lease. */
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

    /**
     * Creates a simulation in which the rules require 4 engines with model a and 3 with model b.
     *
     * @param seed the seed of all random faults and delays
     * @param settleMillis the time that a new leader waits for orders of earlier leaders that are
     *     still in transit
     * @param controllersIgnoreLease whether the controllers are told that their lease never ends
     */
    PlacementSimulation(long seed, long settleMillis, boolean controllersIgnoreLease) {
        random = new SplittableRandom(seed);
        this.controllersIgnoreLease = controllersIgnoreLease;
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.add(
                    new PlacementController(
                            new PlacementSettings(
                                    MAX_LOADS,
                                    LOAD_GAP_MILLIS,
                                    LOAD_MILLIS,
                                    settleMillis,
                                    /* gatherMillis= */ 250,
                                    /* resendMillis= */ 900,
                                    /* reportMillis= */ 350)));
        }
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine(i));
        }
        setRules(4, 3);
    }

    /** Returns the most recent violation of an invariant, or null if there was none. */
    String violation() {
        return violation;
    }

    /** Injects random faults and rule changes for {@code millis} of virtual time. */
    void runWithFaults(long millis) {
        for (long endMillis = nowMillis + millis; nowMillis < endMillis && violation == null; ) {
            simulateNextStep();
            switch (random.nextInt(120)) {
                case 0 -> paused[random.nextInt(CONTROLLERS)] = true;
                case 1, 2 -> resume(random.nextInt(CONTROLLERS));
                case 3 -> unreachableDomains.add(new FailureDomain("d" + random.nextInt(3)));
                case 4, 5 -> unreachableDomains.clear();
                case 6 -> setRules(1 + random.nextInt(5), 1 + random.nextInt(4));
                default -> {}
            }
        }
    }

    /**
     * Ends all faults and requires 5 engines with model a and 4 with model b; returns whether at
     * least as many have these models loaded after {@code millis} of virtual time.
     */
    boolean endFaultsAndCheckRecovery(long millis) {
        unreachableDomains.clear();
        setRules(5, 4);
        for (int i = 0; i < CONTROLLERS; i++) {
            resume(i);
        }
        for (long endMillis = nowMillis + millis; nowMillis < endMillis && violation == null; ) {
            simulateNextStep();
        }
        return countEnginesWithModel("a") >= 5 && countEnginesWithModel("b") >= 4;
    }

    private void simulateNextStep() {
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

    /**
     * Renews the lease while the leader runs. After the lease has expired, grants a new lease to a
     * random controller, unless that controller is paused.
     */
    private void renewOrGrantLease() {
        boolean renewsLease = !paused[leader] && random.nextInt(600) > 0;
        if (renewsLease && nowMillis < leaseUntilMillis) {
            leaseUntilMillis = nowMillis + LEASE_MILLIS;
            long announcedLeaseUntilMillis =
                    controllersIgnoreLease ? Long.MAX_VALUE : leaseUntilMillis;
            // Log positions are ordered by index first, so the index increases with the term.
            step(
                    leader,
                    new PlacementInput.Leading(
                            new LogPosition(term, term * 10), announcedLeaseUntilMillis));
        } else if (nowMillis >= leaseUntilMillis) {
            int candidateIndex = random.nextInt(CONTROLLERS);
            if (!paused[candidateIndex]) {
                leader = candidateIndex;
                term++;
                leaseUntilMillis = nowMillis + LEASE_MILLIS;
            }
        }
    }

    private void runController(int controllerIndex) {
        if (nowMillis % REPORT_INTERVAL_MILLIS == 0) {
            for (Engine engine : engines) {
                if (!unreachableDomains.contains(engine.domain)) {
                    step(controllerIndex, new PlacementInput.Reported(engine.report()));
                }
            }
        }
        step(controllerIndex, new PlacementInput.Tick());
    }

    private void resume(int controllerIndex) {
        paused[controllerIndex] = false;
        step(controllerIndex, new PlacementInput.Tick());
    }

    private void step(int controllerIndex, PlacementInput input) {
        for (EngineOrder order : controllers.get(controllerIndex).step(nowMillis, input)) {
            boolean holdsLease = controllerIndex == leader && nowMillis < leaseUntilMillis;
            if (!holdsLease) {
                violation =
                        "controller %d sent an order without a lease".formatted(controllerIndex);
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
        if (unreachableDomains.contains(engine.domain)) {
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
        boolean hasOrderedModel =
                engine.current != null && engine.current.model().equals(order.assignment().model());
        if (hasOrderedModel) {
            engine.current = order.assignment();
            engine.loading = null;
            return;
        }
        engine.loading = order.assignment();
        engine.loadEndMillis = nowMillis + LOAD_MILLIS;
        long concurrentLoadsForLeader =
                engines.stream()
                        .filter(
                                other ->
                                        other.loading != null
                                                && other.fencingToken.equals(order.fencingToken()))
                        .count();
        if (concurrentLoadsForLeader > MAX_LOADS) {
            violation =
                    concurrentLoadsForLeader
                            + " engines fetch weights for one leader at the same time";
        }
    }

    private long countEnginesWithModel(String model) {
        return engines.stream()
                .filter(
                        engine ->
                                engine.current != null
                                        && engine.current.model().model().equals(model))
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
