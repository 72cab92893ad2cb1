package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyOracle.RequestState;
import io.siskintrail.internal.policy.PolicyOracle.TrackedRequest;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** Simulates three routers in virtual time with random inputs and lost or delayed messages. */
final class PolicyCluster {
    static final int ROUTERS = 3;
    private static final int ENDPOINTS = 3;
    private static final int SLOTS_PER_ENDPOINT = 3;
    private static final double MESSAGE_LOSS_RATIO = 0.1;
    private static final long FULL_LOAD_MILLIS = 3_000;

    final PolicyOracle oracle = new PolicyOracle();
    private final SplittableRandom random;
    private final List<StateMachine<PolicyInput, PolicyEffect>> routers = new ArrayList<>();
    private final PriorityQueue<InTransit> inTransit =
            new PriorityQueue<>(
                    Comparator.comparingLong(InTransit::dueMillis)
                            .thenComparingLong(InTransit::order));
    private long nowMillis;
    private long nextOrder;
    private long nextTicket;
    private boolean lossy = true;

    private record InTransit(long dueMillis, long order, int from, int to, PolicyMessage message) {}

    /**
     * Creates the routers and announces routers and endpoints to them.
     *
     * @param decorator returns the state machine to use in place of a dispatcher
     * @param isolated whether each router is told that it is the only one, so that it shares no
     *     slots
     */
    PolicyCluster(
            long seed,
            UnaryOperator<StateMachine<PolicyInput, PolicyEffect>> decorator,
            boolean isolated) {
        random = new SplittableRandom(seed);
        TreeSet<HostId> allRouters = new TreeSet<>();
        for (int i = 0; i < ROUTERS; i++) {
            allRouters.add(host(i));
            routers.add(decorator.apply(new Dispatcher(host(i), 1, PolicyRules.DEFAULT)));
        }
        for (int i = 0; i < ROUTERS; i++) {
            TreeSet<HostId> liveRouters = isolated ? new TreeSet<>(List.of(host(i))) : allRouters;
            step(i, new PolicyInput.Peers(liveRouters, true));
            for (int e = 0; e < ENDPOINTS; e++) {
                step(i, new PolicyInput.EndpointUp(Requests.engine("e" + e, SLOTS_PER_ENDPOINT)));
                oracle.addEndpoint(new EndpointId("e" + e), SLOTS_PER_ENDPOINT);
            }
        }
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            performRandomAction(random.nextInt(100));
        }
    }

    /** Finishes all requests, without new requests and without lost or delayed messages. */
    void drain() {
        lossy = false;
        for (int i = 0; i < 2_000; i++) {
            advance(50);
            acknowledgeSuspensions();
            for (TrackedRequest s : oracle.requestsIn(RequestState.RUNNING)) {
                finish(s, Outcome.DONE);
            }
        }
    }

    /** Submits one request per slot and returns how many run just before their deadline. */
    int countRunningAtFullLoad() {
        for (int i = 0; i < ENDPOINTS * SLOTS_PER_ENDPOINT; i++) {
            submit(i % ROUTERS, "fresh", Rank.URGENT, null, FULL_LOAD_MILLIS);
        }
        advance(FULL_LOAD_MILLIS - 1);
        return oracle.requestsIn(RequestState.RUNNING).size();
    }

    static int totalSlots() {
        return ENDPOINTS * SLOTS_PER_ENDPOINT;
    }

    private void performRandomAction(int choice) {
        if (choice < 30) {
            Rank rank = random.nextInt(3) == 0 ? Rank.URGENT : Rank.BULK;
            String key = random.nextInt(4) == 0 ? "k" + random.nextInt(5) : null;
            long maxWait = 100 + random.nextInt(5_000);
            submit(random.nextInt(ROUTERS), "a" + random.nextInt(4), rank, key, maxWait);
        } else if (choice < 45) {
            applyToRandom(RequestState.RUNNING, s -> finish(s, Outcome.DONE));
        } else if (choice < 48) {
            applyToRandom(RequestState.RUNNING, s -> finish(s, Outcome.ENDPOINT_FAILED));
        } else if (choice < 52) {
            applyToRandom(RequestState.WAITING, this::cancel);
        } else if (choice < 54) {
            applyToRandom(RequestState.RUNNING, this::cancel);
        } else if (choice < 70) {
            acknowledgeSuspensions();
        } else {
            advance(1 + random.nextInt(200));
        }
    }

    private void submit(int router, String account, Rank rank, String key, long maxWait) {
        WorkRequest r = Requests.request(nextTicket++, account, rank, key, maxWait);
        oracle.recordSubmit(router, r);
        step(router, new PolicyInput.Submit(r));
    }

    private void applyToRandom(RequestState state, Consumer<TrackedRequest> action) {
        List<TrackedRequest> candidates = oracle.requestsIn(state);
        if (!candidates.isEmpty()) {
            action.accept(candidates.get(random.nextInt(candidates.size())));
        }
    }

    private void finish(TrackedRequest s, Outcome outcome) {
        oracle.releaseSlot(s, RequestState.FINISHED);
        step(s.router, new PolicyInput.Finished(s.request.ticket(), outcome, 20));
    }

    private void cancel(TrackedRequest s) {
        if (s.state == RequestState.RUNNING) {
            oracle.releaseSlot(s, RequestState.CANCELLED);
        } else {
            s.state = RequestState.CANCELLED;
        }
        step(s.router, new PolicyInput.Cancel(s.request.ticket()));
    }

    private void acknowledgeSuspensions() {
        for (TrackedRequest s : oracle.requestsIn(RequestState.SUSPENDING)) {
            oracle.releaseSlot(s, RequestState.WAITING);
            step(s.router, new PolicyInput.Suspended(s.request.ticket(), 5));
        }
    }

    private void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis++;
            while (!inTransit.isEmpty() && inTransit.peek().dueMillis() <= nowMillis) {
                InTransit m = inTransit.poll();
                step(m.to(), new PolicyInput.FromPeer(host(m.from()), m.message()));
            }
            if (nowMillis % Dispatcher.TICK_MILLIS == 0) {
                for (int i = 0; i < ROUTERS; i++) {
                    step(i, new PolicyInput.Tick());
                }
            }
        }
    }

    private void step(int router, PolicyInput input) {
        for (PolicyEffect effect : routers.get(router).step(nowMillis, input)) {
            oracle.check(nowMillis, router, effect);
            if (effect instanceof PolicyEffect.Send s) {
                send(router, s);
            }
        }
    }

    private void send(int from, PolicyEffect.Send s) {
        if (lossy && random.nextDouble() < MESSAGE_LOSS_RATIO) {
            return;
        }
        int to = Integer.parseInt(s.to().value().substring(1));
        long delay = 1 + (lossy && random.nextInt(20) == 0 ? random.nextInt(400) : 0);
        inTransit.add(new InTransit(nowMillis + delay, nextOrder++, from, to, s.message()));
    }

    private static HostId host(int i) {
        return new HostId("r" + i);
    }
}
