package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.Dispatcher;
import io.siskintrail.internal.policy.Outcome;
import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.internal.policy.PolicyMessage;
import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.internal.policy.Target;
import io.siskintrail.internal.policy.WorkRequest;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/** Runs routers, engines and callers of one experiment in virtual time. */
final class World {
    static final ModelId MODEL = new ModelId("quoting", "", "v1");
    private static final long HOP_MILLIS = 1;
    private static final long REPORT_MILLIS = 500;
    private static final long REPORT_LAG_MILLIS = 250;
    private static final long CACHE_EVENT_LAG_MILLIS = 200;
    private static final long GOSSIP_MILLIS = 500;

    final Shape shape;
    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final Map<EndpointId, Engine> engines = new LinkedHashMap<>();
    final List<Request> requests = new ArrayList<>();
    BiPredicate<HostId, HostId> cut = (a, b) -> false;
    Callers callers = new Callers(this);
    BiConsumer<Engine, List<Engine.Job>> onDeath = (e, jobs) -> {};
    final PolicyRules rules;
    Predicate<PolicyMessage> lost = m -> false;
    long refusals;
    long joins;
    long suspensions;
    long enginesKilled;
    private final List<Long> resumes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long orders;
    private long tickets;

    /**
     * Sizes of an experiment.
     *
     * @param routers routers
     * @param engines engines
     * @param slots slots of an engine
     * @param cacheBlocks prefix blocks that an engine keeps
     * @param cacheEventLoss share of the cache events that are lost
     */
    record Shape(int routers, int engines, int slots, int cacheBlocks, double cacheEventLoss) {
        /** Three failure domains, 13 engines, 7 routers. */
        static final Shape AMMAN = new Shape(7, 13, 8, 20_000, 0);

        int totalSlots() {
            return engines * slots;
        }
    }

    private record Event(long at, long order, Runnable action) {}

    World(Shape shape, Strategy strategy, PolicyRules rules, long seed) {
        this.shape = shape;
        this.rules = rules;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < shape.engines(); i++) {
            EndpointInfo info = info(i, shape.slots());
            engines.put(info.id(), new Engine(this, info, shape.cacheBlocks()));
        }
        for (int i = 0; i < shape.routers(); i++) {
            HostId id = new HostId("entry-" + i);
            nodes.add(new Node(id, strategy.router(this, i, id)));
        }
        TreeSet<HostId> all = new TreeSet<>(nodes.stream().map(n -> n.id).toList());
        for (Node n : nodes) {
            feed(
                    n,
                    new PolicyInput.Peers(
                            strategy.isAlone() ? new TreeSet<>(List.of(n.id)) : all, true));
        }
        int index = 0;
        for (Engine e : engines.values()) {
            for (int i = 0; i < nodes.size(); i++) {
                int slots = strategy.slots(shape, i, index);
                if (slots > 0) {
                    feed(nodes.get(i), new PolicyInput.EndpointUp(info(index, slots)));
                }
            }
            index++;
            every(REPORT_MILLIS, () -> publishLoad(e, !strategy.isAlone()));
        }
        nodes.forEach(n -> every(Dispatcher.TICK_MILLIS, () -> feed(n, new PolicyInput.Tick())));
    }

    long now() {
        return now;
    }

    void at(long time, Runnable action) {
        events.add(new Event(time, orders++, action));
    }

    void every(long millis, Runnable action) {
        at(
                now + millis,
                () -> {
                    action.run();
                    every(millis, action);
                });
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event e = events.poll();
            now = e.at();
            e.action().run();
        }
        now = until;
    }

    /** Schedules all arrivals of {@code source}. */
    void load(Source source) {
        at(source.from(), () -> arriveAfterGap(source));
    }

    private void arriveAfterGap(Source source) {
        double gap = -Math.log(1 - random.nextDouble()) / source.perSecond() * 1000;
        long time = now + Math.max(1, Math.round(gap));
        if (time > source.to()) {
            return;
        }
        at(
                time,
                () -> {
                    arrive(source);
                    arriveAfterGap(source);
                });
    }

    private void arrive(Source source) {
        Request r =
                new Request(
                        requests.size(),
                        requests.size(),
                        source.accountId(),
                        source.rank(),
                        vary(source.promptTokens()),
                        vary(source.outputTokens()),
                        new long[0],
                        now);
        requests.add(r);
        callers.arrived(r, source);
    }

    private int vary(int mean) {
        return Math.max(1, (int) (mean * (0.5 + random.nextDouble())));
    }

    /** Returns a live router among the first {@code count}, as the balancer would choose it. */
    Node balance(int count) {
        List<Node> live = nodes.subList(0, count).stream().filter(n -> n.up).toList();
        return live.isEmpty() ? balance(nodes.size()) : live.get(random.nextInt(live.size()));
    }

    /** Sends a request to a router. */
    Call send(Request request, Node node, RequestKey key, long maxWaitMillis) {
        request.sends++;
        return submit(request, node, key, maxWaitMillis, false);
    }

    private Call submit(
            Request r, Node node, RequestKey key, long maxWaitMillis, boolean recovery) {
        Call call = new Call(tickets++, r, node);
        node.calls.put(call.ticket, call);
        WorkRequest w =
                new WorkRequest(
                        call.ticket,
                        r.account,
                        r.rank,
                        Target.of(MODEL),
                        key,
                        r.group + 1,
                        r.promptTokens + r.delivered,
                        Math.max(1, r.outputTokens * 2),
                        maxWaitMillis,
                        r.prefix,
                        recovery);
        feed(node, new PolicyInput.Submit(w));
        return call;
    }

    /** Makes a request that kills the engine that runs it. */
    Request poison(long group) {
        Request r =
                new Request(
                        requests.size(),
                        group,
                        new AccountId("poisoner"),
                        Rank.URGENT,
                        100,
                        100,
                        new long[0],
                        now);
        r.poisonous = true;
        requests.add(r);
        return r;
    }

    /** Makes a further send of the same wish, with the same content. */
    Request again(Request before) {
        Request r =
                new Request(
                        requests.size(),
                        before.group,
                        before.account,
                        before.rank,
                        before.promptTokens,
                        before.outputTokens,
                        before.prefix,
                        before.arrivedAt);
        requests.add(r);
        return r;
    }

    /** Ends a call whose router has died: its connection to the engine is reset. */
    void disconnect(Call call) {
        call.ended = true;
        call.request.abandoned = true;
        if (call.job != null) {
            at(now + HOP_MILLIS, () -> call.engine.cancel(call.job));
        }
    }

    /** Returns a percentile of the time from the loss of an engine to the next token. */
    long resumeMillis(double share) {
        if (resumes.isEmpty()) {
            return 0;
        }
        List<Long> sorted = resumes.stream().sorted().toList();
        return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
    }

    /** Returns how many generations went on after the loss of an engine. */
    int resumed() {
        return resumes.size();
    }

    /** Ends a call whose caller has left. */
    void abandon(Call call) {
        if (call.ended) {
            return;
        }
        end(call);
        if (call.job != null) {
            call.engine.cancel(call.job);
        }
        feed(call.node, new PolicyInput.Cancel(call.ticket));
    }

    void firstToken(Call call) {
        if (call.recoveredAt >= 0) {
            resumes.add(now - call.recoveredAt);
            call.recoveredAt = -1;
        }
        if (call.request.firstTokenAt < 0) {
            call.request.firstTokenAt = now + HOP_MILLIS;
        }
    }

    void completed(Call call, int tokens) {
        call.request.delivered += tokens;
        later(
                call,
                () -> {
                    end(call);
                    call.request.doneAt = now;
                    feed(call.node, new PolicyInput.Finished(call.ticket, Outcome.DONE, tokens));
                    callers.done(call);
                });
    }

    /** Kills an engine; its connections are reset at once and gossip tells of it later. */
    void kill(Engine e) {
        if (!e.up) {
            return;
        }
        enginesKilled++;
        List<Engine.Job> jobs = e.die();
        onDeath.accept(e, jobs);
        for (Engine.Job job : jobs) {
            int tokens = job.tokens(now);
            job.call.request.delivered += tokens;
            later(job.call, () -> failed(job.call, tokens));
        }
        for (Node n : nodes) {
            at(now + GOSSIP_MILLIS, () -> goneOrBack(n, e));
        }
    }

    /** Starts a killed engine again, empty. */
    void revive(Engine e, long incarnation) {
        e.up = true;
        for (Node n : nodes) {
            EndpointInfo i = e.info;
            EndpointInfo fresh =
                    new EndpointInfo(
                            i.id(),
                            i.address(),
                            i.kind(),
                            i.domain(),
                            i.models(),
                            i.services(),
                            i.slots(),
                            true,
                            incarnation,
                            false);
            at(now + GOSSIP_MILLIS, () -> feed(n, new PolicyInput.EndpointUp(fresh)));
        }
    }

    void publish(PolicyInput.CacheEvent event) {
        for (Node n : nodes) {
            if (random.nextDouble() >= shape.cacheEventLoss()) {
                at(now + CACHE_EVENT_LAG_MILLIS, () -> feed(n, event));
            }
        }
    }

    void feed(Node node, PolicyInput input) {
        if (!node.up) {
            return;
        }
        for (PolicyEffect effect : node.machine.step(now, input)) {
            carryOut(node, effect);
        }
    }

    private void goneOrBack(Node n, Engine e) {
        if (!e.up) {
            feed(n, new PolicyInput.EndpointGone(e.info.id()));
        }
    }

    private void publishLoad(Engine e, boolean heard) {
        if (!e.up || !heard) {
            return;
        }
        PolicyInput.LoadReport report = e.report();
        for (Node n : nodes) {
            at(now + REPORT_LAG_MILLIS, () -> feed(n, report));
        }
    }

    private void carryOut(Node node, PolicyEffect effect) {
        if (effect instanceof PolicyEffect.Start s) {
            Call call = node.calls.get(s.ticket());
            later(call, () -> startOn(call, engines.get(s.endpoint())));
        } else if (effect instanceof PolicyEffect.Refuse r) {
            refusals++;
            Call call = node.calls.get(r.ticket());
            end(call);
            callers.refused(call, r);
        } else if (effect instanceof PolicyEffect.Join j) {
            joins++;
            end(node.calls.get(j.ticket()));
        } else if (effect instanceof PolicyEffect.Suspend s) {
            Call call = node.calls.get(s.ticket());
            later(call, () -> suspend(call));
        } else if (effect instanceof PolicyEffect.Send m) {
            deliver(node, m);
        } else if (effect instanceof PolicyEffect.RequestCacheSnapshot c) {
            Engine e = engines.get(c.endpoint());
            at(now + 5 * HOP_MILLIS, () -> feed(node, e.snapshot()));
        }
    }

    private void deliver(Node from, PolicyEffect.Send m) {
        if (cut.test(from.id, m.to()) || lost.test(m.message())) {
            return;
        }
        Node to = nodes.stream().filter(n -> n.id.equals(m.to())).findFirst().orElseThrow();
        at(now + HOP_MILLIS, () -> feed(to, new PolicyInput.FromPeer(from.id, m.message())));
    }

    private void startOn(Call call, Engine e) {
        if (!e.up) {
            later(call, () -> failed(call, 0));
            return;
        }
        call.engine = e;
        e.submit(call);
    }

    private void suspend(Call call) {
        if (call.job == null) {
            return;
        }
        int tokens = call.engine.cancel(call.job);
        call.job = null;
        call.request.delivered += tokens;
        suspensions++;
        later(call, () -> feed(call.node, new PolicyInput.Suspended(call.ticket, tokens)));
    }

    private void failed(Call call, int tokens) {
        end(call);
        feed(call.node, new PolicyInput.Finished(call.ticket, Outcome.ENDPOINT_FAILED, tokens));
        callers.endpointFailed(call);
    }

    /** Submits the rest of a request whose endpoint failed. */
    void recover(Call call) {
        Call next = submit(call.request, call.node, null, 60_000, true);
        next.recoveredAt = now;
        callers.continued(call, next);
    }

    private void end(Call call) {
        call.ended = true;
        call.node.calls.remove(call.ticket);
    }

    private void later(Call call, Runnable action) {
        at(
                now + HOP_MILLIS,
                () -> {
                    if (!call.ended && call.node.up) {
                        action.run();
                    }
                });
    }

    private static EndpointInfo info(int index, int slots) {
        return new EndpointInfo(
                new EndpointId("engine-" + index),
                "127.0.0.1:1",
                EndpointKind.ENGINE,
                new FailureDomain("domain-" + index % 3),
                List.of(MODEL),
                List.of(),
                slots,
                true,
                1,
                false);
    }
}
