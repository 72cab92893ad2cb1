package io.siskintrail.internal.ledger;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/**
 * Several routers, one committed log, a lossy network between them and a plain service, in virtual
 * time. Checks each call and each outcome against what really happened.
 */
final class LedgerWorld {
    static final int ROUTERS = 3;
    private static final int KEYS = 3;
    private static final long RETENTION_MILLIS = 86_400_000;
    private static final long ANSWER_MILLIS = 4_000;
    private static final long WAIT_MILLIS = 2_500;
    private static final List<EndpointId> ENDPOINTS =
            List.of(new EndpointId("depot-1"), new EndpointId("depot-2"), new EndpointId("d3"));

    enum Act {
        SUBMIT(10),
        SUBMIT_OTHER_CONTENT(1),
        COMMIT(24),
        LOSE_PROPOSAL(2),
        REPEAT_PROPOSAL(3),
        REPLY(24),
        LOSE_REPLY(2),
        REFUSE_CONNECTION(3),
        RUN_CALL(6),
        LOSE_CALL(1),
        ANSWER_CALL(6),
        BREAK_CALL(2),
        TICK(12),
        LONG_TICK(1),
        KILL(1),
        RESTART(2),
        PAUSE(1),
        RESUME(2),
        SETTLE(1),
        SNAPSHOT(1);

        private final int weight;

        Act(int weight) {
            this.weight = weight;
        }
    }

    private static final List<Act> WEIGHTED = weighted();

    private record Sent(int router, long boot, OrderEffect.Propose proposal) {}

    private record Reply(int router, long boot, OrderInput.LedgerReplied input) {}

    /** A call that may reach its endpoint, or did. */
    private static final class Call {
        final int router;
        final long boot;
        final OrderEffect.Call effect;
        StoredAnswer answer;

        Call(int router, long boot, OrderEffect.Call effect) {
            this.router = router;
            this.boot = boot;
            this.effect = effect;
        }
    }

    private record Submitted(OrderKey key, List<Call> callsBefore) {}

    private final BiFunction<HostId, Long, OrderFlow> flows;
    private final Supplier<LedgerState> ledgers;
    private final OrderFlow[] routers = new OrderFlow[ROUTERS];
    private final long[] boots = new long[ROUTERS];
    private final boolean[] paused = new boolean[ROUTERS];
    private final List<Sent> proposals = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final Map<Long, Submitted> requests = new HashMap<>();
    private final Set<Long> told = new HashSet<>();
    private final Map<OrderKey, List<Call>> dispatches = new HashMap<>();
    private final Map<OrderKey, StoredAnswer> answers = new HashMap<>();
    private final Map<String, Long> lastNotRun = new HashMap<>();
    private final Map<Act, Integer> done = new EnumMap<>(Act.class);
    private final Map<String, Integer> outcomes = new HashMap<>();
    private LedgerState ledger;
    private long now = 1_000;
    private long index;
    private long requestNumbers;
    private long bootNumbers;
    private int executions;

    LedgerWorld(BiFunction<HostId, Long, OrderFlow> flows, Supplier<LedgerState> ledgers) {
        this.flows = flows;
        this.ledgers = ledgers;
        this.ledger = ledgers.get();
        for (int r = 0; r < ROUTERS; r++) {
            restart(r);
        }
    }

    /** Makes the flow that production uses. */
    static OrderFlow realFlow(HostId host, long boot) {
        return new OrderFlow(host, boot, LedgerWorld::pick);
    }

    static EndpointId pick(ServiceName service, Set<EndpointId> tried) {
        return ENDPOINTS.stream().filter(e -> !tried.contains(e)).findFirst().orElse(null);
    }

    Map<String, Integer> outcomes() {
        return outcomes;
    }

    /** Carries out the step that {@code number} stands for. */
    void act(int number) {
        Act act = WEIGHTED.get(Math.floorMod(number, WEIGHTED.size()));
        int arg = Math.floorMod(number / WEIGHTED.size(), 1 << 16);
        int router = arg % ROUTERS;
        done.merge(act, 1, Integer::sum);
        switch (act) {
            case SUBMIT -> submit(router, arg / ROUTERS, "body");
            case SUBMIT_OTHER_CONTENT -> submit(router, arg / ROUTERS, "other");
            case COMMIT -> commit(take(proposals, arg));
            case LOSE_PROPOSAL -> take(proposals, arg);
            case REPEAT_PROPOSAL -> repeat(arg);
            case REPLY -> reply(arg);
            case LOSE_REPLY -> take(replies, arg);
            case REFUSE_CONNECTION -> refuse(arg);
            case RUN_CALL -> run(arg);
            case LOSE_CALL, BREAK_CALL -> breakCall(arg);
            case ANSWER_CALL -> answer(arg);
            case TICK -> tick(arg % 300);
            case LONG_TICK -> tick(20_000);
            case KILL -> routers[router] = null;
            case RESTART -> restart(router);
            case PAUSE -> paused[router] = true;
            case RESUME -> paused[router] = false;
            case SETTLE -> propose(router, 0, new LedgerCommand.SettleHost(host(router), 0));
            case SNAPSHOT -> snapshot();
            default -> throw new AssertionError(act);
        }
    }

    /** Ends all faults and checks that every request of a living router is told an outcome. */
    void settleDown() {
        for (int r = 0; r < ROUTERS; r++) {
            paused[r] = false;
            if (routers[r] == null) {
                restart(r);
            }
        }
        for (int round = 0; round < 1_400; round++) {
            while (!proposals.isEmpty()) {
                commit(take(proposals, 0));
            }
            while (!replies.isEmpty()) {
                reply(0);
            }
            for (int i = calls.size() - 1; i >= 0; i--) {
                run(i);
                answer(i);
            }
            tick(OrderFlow.TICK_MILLIS);
        }
        for (OrderFlow flow : routers) {
            assertWithMessage("open orders at rest").that(flow.openOrders()).isEqualTo(0);
        }
        ledger.apply(
                new LogPosition(1, ++index),
                now,
                new LedgerCommand.SettleHost(new HostId("none"), 0));
        boolean open = ledger.image().records().stream().anyMatch(OrderRecord::isOpen);
        assertWithMessage("open record at rest").that(open).isFalse();
    }

    private void submit(int router, int arg, String content) {
        if (unavailable(router)) {
            return;
        }
        OrderKey key =
                new OrderKey(
                        new ServiceName("orders"),
                        new AccountId("a"),
                        new RequestKey("k" + arg % KEYS));
        long request = ++requestNumbers;
        requests.put(request, new Submitted(key, List.copyOf(live(key))));
        ContentDigest digest =
                ContentDigest.of(key.account(), "POST", content, new byte[] {(byte) (arg % KEYS)});
        OrderTerms terms = new OrderTerms(RETENTION_MILLIS, ANSWER_MILLIS);
        step(router, new OrderInput.Submit(request, key, digest, terms, WAIT_MILLIS));
    }

    private boolean unavailable(int router) {
        return routers[router] == null || paused[router];
    }

    /** Returns the calls that ran, or may run; those that never connected are not among them. */
    private List<Call> live(OrderKey key) {
        return dispatches.getOrDefault(key, List.of());
    }

    private void step(int router, OrderInput input) {
        for (OrderEffect effect : routers[router].step(now, input)) {
            if (effect instanceof OrderEffect.Propose p) {
                proposals.add(new Sent(router, boots[router], p));
            } else if (effect instanceof OrderEffect.Call c) {
                dispatch(router, c);
            } else if (effect instanceof OrderEffect.Tell t) {
                check(router, t);
            }
        }
    }

    private void dispatch(int router, OrderEffect.Call c) {
        Call call = new Call(router, boots[router], c);
        List<Call> all = dispatches.computeIfAbsent(c.key(), k -> new ArrayList<>());
        assertWithMessage("live dispatches of %s before another", c.key()).that(all).isEmpty();
        long notRun = lastNotRun.getOrDefault(scope(router, c.key()), 0L);
        assertWithMessage("request dispatched after 'not run' was told to %s", notRun)
                .that(c.request())
                .isGreaterThan(notRun);
        all.add(call);
        calls.add(call);
    }

    private void check(int router, OrderEffect.Tell t) {
        Submitted s = requests.get(t.request());
        assertWithMessage("second outcome of a request").that(told.add(t.request())).isTrue();
        outcomes.merge(t.outcome().getClass().getSimpleName(), 1, Integer::sum);
        if (t.outcome() instanceof OrderOutcome.NotRun) {
            assertWithMessage("dispatches before a request that was told 'not run'")
                    .that(s.callsBefore().stream().anyMatch(live(s.key())::contains))
                    .isFalse();
            boolean sent =
                    live(s.key()).stream()
                            .anyMatch(c -> c.router == router && c.boot == boots[router]);
            assertWithMessage("'not run' told by the router that dispatched").that(sent).isFalse();
            lastNotRun.merge(scope(router, s.key()), t.request(), Math::max);
        }
        if (t.outcome() instanceof OrderOutcome.Answered a) {
            assertWithMessage("answer of %s", s.key())
                    .that(a.answer())
                    .isEqualTo(answers.get(s.key()));
        }
    }

    private String scope(int router, OrderKey key) {
        return router + "." + boots[router] + "." + key;
    }

    private void propose(int router, long number, LedgerCommand command) {
        proposals.add(new Sent(router, -1, new OrderEffect.Propose(number, command)));
    }

    private void commit(Sent sent) {
        if (sent == null) {
            return;
        }
        LogPosition position = new LogPosition(1, ++index);
        LedgerAnswer answer = ledger.apply(position, now, sent.proposal().command());
        OrderInput.LedgerReplied input =
                new OrderInput.LedgerReplied(sent.proposal().proposal(), answer);
        replies.add(new Reply(sent.router(), sent.boot(), input));
    }

    private void repeat(int arg) {
        if (!proposals.isEmpty()) {
            proposals.add(proposals.get(arg % proposals.size()));
        }
    }

    private void reply(int arg) {
        Reply reply = take(replies, arg);
        if (reply == null) {
            return;
        }
        if (paused[reply.router()]) {
            replies.add(reply);
        } else if (isUp(reply.router(), reply.boot())) {
            step(reply.router(), reply.input());
        }
    }

    private boolean isUp(int router, long boot) {
        return routers[router] != null && boots[router] == boot;
    }

    private void refuse(int arg) {
        Call call = pick(calls, arg);
        if (call == null || call.answer != null) {
            return;
        }
        calls.remove(call);
        dispatches.get(call.effect.key()).remove(call);
        tell(call, new OrderInput.CallNotConnected(call.effect.call()));
    }

    private void run(int arg) {
        Call call = pick(calls, arg);
        if (call == null || call.answer != null) {
            return;
        }
        call.answer = StoredAnswer.of(200, "text/plain", ("run " + ++executions).getBytes());
        StoredAnswer old = answers.put(call.effect.key(), call.answer);
        assertWithMessage("earlier run of %s", call.effect.key()).that(old).isNull();
    }

    private void breakCall(int arg) {
        Call call = take(calls, arg);
        if (call != null) {
            tell(call, new OrderInput.CallBroken(call.effect.call()));
        }
    }

    private void answer(int arg) {
        Call call = pick(calls, arg);
        if (call != null && call.answer != null) {
            calls.remove(call);
            tell(call, new OrderInput.CallAnswered(call.effect.call(), call.answer));
        }
    }

    /** A paused router finds the result when it resumes; here it is lost instead or in time. */
    private void tell(Call call, OrderInput input) {
        if (!isUp(call.router, call.boot)) {
            return;
        }
        if (paused[call.router]) {
            paused[call.router] = false;
        }
        step(call.router, input);
    }

    private void tick(long millis) {
        now += millis;
        for (int r = 0; r < ROUTERS; r++) {
            if (!unavailable(r)) {
                step(r, new OrderInput.Tick());
            }
        }
    }

    private void restart(int router) {
        boots[router] = ++bootNumbers;
        paused[router] = false;
        routers[router] = flows.apply(host(router), boots[router]);
        propose(router, 0, routers[router].settleEarlierBoots());
    }

    private void snapshot() {
        LedgerState copy = ledgers.get();
        copy.restore(ledger.image());
        assertWithMessage("restored image").that(copy.image()).isEqualTo(ledger.image());
        ledger = copy;
    }

    private static HostId host(int router) {
        return new HostId("h" + router);
    }

    private static <T> T pick(List<T> list, int arg) {
        return list.isEmpty() ? null : list.get(arg % list.size());
    }

    private static <T> T take(List<T> list, int arg) {
        return list.isEmpty() ? null : list.remove(arg % list.size());
    }

    private static List<Act> weighted() {
        List<Act> all = new ArrayList<>();
        for (Act act : Act.values()) {
            for (int i = 0; i < act.weight; i++) {
                all.add(act);
            }
        }
        return all;
    }
}
