package io.siskintrail.router.internal.order;

import io.siskintrail.internal.ledger.EndpointPicker;
import io.siskintrail.internal.ledger.LedgerAnswer;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.internal.ledger.OrderEffect;
import io.siskintrail.internal.ledger.OrderFlow;
import io.siskintrail.internal.ledger.OrderInput;
import io.siskintrail.internal.ledger.OrderKey;
import io.siskintrail.internal.ledger.OrderOutcome;
import io.siskintrail.internal.ledger.OrderTerms;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.control.ControlClient;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Runs the {@link OrderFlow} of this router: proposals go to the control log, calls to endpoints,
 * outcomes back to callers. The flow and the contents of open orders live on the control thread.
 */
public final class OrderService implements Service {
    private static final System.Logger LOG = System.getLogger(OrderService.class.getName());
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);
    private static final long CONNECT_AND_COMMIT_MILLIS = 5_000;
    private static final long SETTLE_RETRY_MILLIS = 1_000;
    private static final long DRAIN_MILLIS = 10_000;
    private static final long DRAIN_POLL_MILLIS = 20;

    private final ControlLoop loop;
    private final LedgerClient ledger;
    private final OrderFlow flow;
    private final Function<EndpointId, String> addresses;
    private final ServiceClient client = new ServiceClient(ANSWER_TIMEOUT);
    private final Map<Long, ServiceCall> contents = new HashMap<>();
    private final Map<Long, CompletableFuture<OrderOutcome>> callers = new HashMap<>();
    private final Set<Long> proposing = new HashSet<>();
    private long requests;
    private boolean settled;
    private volatile boolean stopped;

    /**
     * Prepares the service.
     *
     * @param host the host of this router
     * @param boot a number that differs for every start of this router
     * @param control access to the control log
     * @param loop the control thread
     * @param picker chooses endpoints; called on the control thread
     * @param addresses gives {@code ip:port} of an endpoint, or null when it is unknown
     */
    public OrderService(
            HostId host,
            long boot,
            ControlClient control,
            ControlLoop loop,
            EndpointPicker picker,
            Function<EndpointId, String> addresses) {
        this.loop = loop;
        this.ledger = new LedgerClient(control);
        this.flow = new OrderFlow(host, boot, picker);
        this.addresses = addresses;
    }

    @Override
    public void start() {
        loop.execute(this::settleEarlierBoots);
        loop.every(OrderFlow.TICK_MILLIS, this::tick);
    }

    /** Waits until the orders that are being worked on have ended, for a bounded time. */
    @Override
    public void stop() {
        long end = ControlLoop.nowMillis() + DRAIN_MILLIS;
        try {
            while (loop.submit(flow::openOrders).get() > 0 && ControlLoop.nowMillis() < end) {
                Thread.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException("the control thread failed", e);
        }
        abort();
    }

    /** Stops at once and leaves open orders as they are, as the death of the process would. */
    public void abort() {
        stopped = true;
        client.close();
    }

    /**
     * Places an order.
     *
     * @param key the order
     * @param call its content
     * @param retentionMillis how long its outcome is kept
     * @param waitMillis how long the caller waits
     * @return what to tell the caller; never fails
     */
    public CompletionStage<OrderOutcome> place(
            OrderKey key, ServiceCall call, long retentionMillis, long waitMillis) {
        CompletableFuture<OrderOutcome> caller = new CompletableFuture<>();
        loop.execute(
                () -> {
                    long request = ++requests;
                    contents.put(request, call);
                    callers.put(request, caller);
                    long answerMillis = ANSWER_TIMEOUT.toMillis() + CONNECT_AND_COMMIT_MILLIS;
                    OrderTerms terms = new OrderTerms(retentionMillis, answerMillis);
                    step(new OrderInput.Submit(request, key, call.digest(), terms, waitMillis));
                });
        return caller;
    }

    /** Ends, as unknown or not run, what a host that died has left open. */
    public void settle(HostId dead) {
        ledger.propose(new LedgerCommand.SettleHost(dead, 0), answer -> {});
    }

    private void tick() {
        if (flow.openOrders() > 0) {
            step(new OrderInput.Tick());
        }
    }

    private void settleEarlierBoots() {
        if (settled || stopped) {
            return;
        }
        ledger.propose(flow.settleEarlierBoots(), answer -> loop.execute(() -> settled = true));
        loop.after(SETTLE_RETRY_MILLIS, this::settleEarlierBoots);
    }

    private void step(OrderInput input) {
        if (stopped) {
            return;
        }
        for (OrderEffect effect : flow.step(ControlLoop.nowMillis(), input)) {
            carryOut(effect);
        }
    }

    private void carryOut(OrderEffect effect) {
        if (effect instanceof OrderEffect.Propose p) {
            propose(p);
        } else if (effect instanceof OrderEffect.Call c) {
            call(c);
        } else if (effect instanceof OrderEffect.Tell t) {
            callers.remove(t.request()).complete(t.outcome());
        } else if (effect instanceof OrderEffect.Forget f) {
            contents.remove(f.request());
        }
    }

    /** Proposes a command, unless an earlier copy of the proposal is still on its way. */
    private void propose(OrderEffect.Propose p) {
        if (proposing.add(p.proposal())) {
            ledger.propose(p.command(), answer -> loop.execute(() -> proposed(p, answer)));
        }
    }

    private void proposed(OrderEffect.Propose p, LedgerAnswer answer) {
        proposing.remove(p.proposal());
        if (answer != null) {
            step(new OrderInput.LedgerReplied(p.proposal(), answer));
        }
    }

    private void call(OrderEffect.Call c) {
        String address = addresses.apply(c.endpoint());
        if (address == null) {
            loop.execute(() -> step(new OrderInput.CallNotConnected(c.call())));
            return;
        }
        client.send(address, contents.get(c.request()))
                .thenAccept(result -> loop.execute(() -> step(ended(c, result))));
    }

    private static OrderInput ended(OrderEffect.Call c, CallResult result) {
        if (result instanceof CallResult.Answered a) {
            return new OrderInput.CallAnswered(c.call(), a.answer());
        }
        if (result instanceof CallResult.NotConnected n) {
            log(c, "order.not_connected", n.cause());
            return new OrderInput.CallNotConnected(c.call());
        }
        log(c, "order.broken", ((CallResult.Broken) result).cause());
        return new OrderInput.CallBroken(c.call());
    }

    private static void log(OrderEffect.Call c, String event, String cause) {
        LogEvent.warning(LOG, event)
                .with("order", c.key())
                .with("endpoint", c.endpoint())
                .with("cause", cause)
                .write();
    }
}
