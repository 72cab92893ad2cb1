package io.siskintrail.internal.policy;

import io.siskintrail.internal.policy.PolicyOracle.Fate;
import io.siskintrail.internal.policy.PolicyOracle.Seen;
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

/** Drives a few dispatchers with random inputs, lost and late messages, in virtual time. */
final class PolicyCluster {
    static final int ROUTERS = 3;
    private static final int ENDPOINTS = 3;
    private static final int SLOTS = 3;
    private static final double LOSS = 0.1;
    private static final long FULL_HOUSE_MILLIS = 3_000;

    final PolicyOracle oracle = new PolicyOracle();
    private final SplittableRandom random;
    private final List<StateMachine<PolicyInput, PolicyEffect>> routers = new ArrayList<>();
    private final PriorityQueue<Mail> mail =
            new PriorityQueue<>(Comparator.comparingLong(Mail::at).thenComparingLong(Mail::order));
    private long now;
    private long orders;
    private long tickets;
    private boolean lossy = true;

    private record Mail(long at, long order, int from, int to, PolicyMessage message) {}

    /**
     * Starts the routers.
     *
     * @param wrap puts a variant in the place of each dispatcher
     * @param alone whether each router is told that it is the only one
     */
    PolicyCluster(
            long seed, UnaryOperator<StateMachine<PolicyInput, PolicyEffect>> wrap, boolean alone) {
        random = new SplittableRandom(seed);
        TreeSet<HostId> all = new TreeSet<>();
        for (int i = 0; i < ROUTERS; i++) {
            all.add(host(i));
            routers.add(wrap.apply(new Dispatcher(host(i), 1, PolicyRules.DEFAULT)));
        }
        for (int i = 0; i < ROUTERS; i++) {
            TreeSet<HostId> seen = alone ? new TreeSet<>(List.of(host(i))) : all;
            feed(i, new PolicyInput.Peers(seen, true));
            for (int e = 0; e < ENDPOINTS; e++) {
                feed(i, new PolicyInput.EndpointUp(Requests.engine("e" + e, SLOTS)));
                oracle.endpoint(new EndpointId("e" + e), SLOTS);
            }
        }
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            act(random.nextInt(100));
        }
    }

    /** Lets everything end: no new work, no more losses. */
    void drain() {
        lossy = false;
        for (int i = 0; i < 2_000; i++) {
            advance(50);
            acknowledge();
            for (Seen s : oracle.in(Fate.RUNNING)) {
                finish(s, Outcome.DONE);
            }
        }
    }

    /** Submits one request for each slot and returns how many run after a few seconds. */
    int startsOfAFullHouse() {
        for (int i = 0; i < ENDPOINTS * SLOTS; i++) {
            submit(i % ROUTERS, "fresh", Rank.URGENT, null, FULL_HOUSE_MILLIS);
        }
        advance(FULL_HOUSE_MILLIS - 1);
        return oracle.in(Fate.RUNNING).size();
    }

    static int slots() {
        return ENDPOINTS * SLOTS;
    }

    private void act(int die) {
        if (die < 30) {
            Rank rank = random.nextInt(3) == 0 ? Rank.URGENT : Rank.BULK;
            String key = random.nextInt(4) == 0 ? "k" + random.nextInt(5) : null;
            long maxWait = 100 + random.nextInt(5_000);
            submit(random.nextInt(ROUTERS), "a" + random.nextInt(4), rank, key, maxWait);
        } else if (die < 45) {
            pick(Fate.RUNNING, s -> finish(s, Outcome.DONE));
        } else if (die < 48) {
            pick(Fate.RUNNING, s -> finish(s, Outcome.ENDPOINT_FAILED));
        } else if (die < 52) {
            pick(Fate.WAITING, this::cancel);
        } else if (die < 54) {
            pick(Fate.RUNNING, this::cancel);
        } else if (die < 70) {
            acknowledge();
        } else {
            advance(1 + random.nextInt(200));
        }
    }

    private void submit(int router, String account, Rank rank, String key, long maxWait) {
        WorkRequest r = Requests.request(tickets++, account, rank, key, maxWait);
        oracle.submitted(router, r);
        feed(router, new PolicyInput.Submit(r));
    }

    private void pick(Fate fate, Consumer<Seen> action) {
        List<Seen> all = oracle.in(fate);
        if (!all.isEmpty()) {
            action.accept(all.get(random.nextInt(all.size())));
        }
    }

    private void finish(Seen s, Outcome outcome) {
        oracle.left(s, Fate.FINISHED);
        feed(s.router, new PolicyInput.Finished(s.request.ticket(), outcome, 20));
    }

    private void cancel(Seen s) {
        if (s.fate == Fate.RUNNING) {
            oracle.left(s, Fate.CANCELLED);
        } else {
            s.fate = Fate.CANCELLED;
        }
        feed(s.router, new PolicyInput.Cancel(s.request.ticket()));
    }

    private void acknowledge() {
        for (Seen s : oracle.in(Fate.SUSPENDING)) {
            oracle.left(s, Fate.WAITING);
            feed(s.router, new PolicyInput.Suspended(s.request.ticket(), 5));
        }
    }

    private void advance(long millis) {
        long end = now + millis;
        while (now < end) {
            now++;
            while (!mail.isEmpty() && mail.peek().at() <= now) {
                Mail m = mail.poll();
                feed(m.to(), new PolicyInput.FromPeer(host(m.from()), m.message()));
            }
            if (now % Dispatcher.TICK_MILLIS == 0) {
                for (int i = 0; i < ROUTERS; i++) {
                    feed(i, new PolicyInput.Tick());
                }
            }
        }
    }

    private void feed(int router, PolicyInput input) {
        for (PolicyEffect effect : routers.get(router).step(now, input)) {
            oracle.check(now, router, effect);
            if (effect instanceof PolicyEffect.Send s) {
                post(router, s);
            }
        }
    }

    private void post(int from, PolicyEffect.Send s) {
        if (lossy && random.nextDouble() < LOSS) {
            return;
        }
        int to = Integer.parseInt(s.to().value().substring(1));
        long delay = 1 + (lossy && random.nextInt(20) == 0 ? random.nextInt(400) : 0);
        mail.add(new Mail(now + delay, orders++, from, to, s.message()));
    }

    private static HostId host(int i) {
        return new HostId("r" + i);
    }
}
