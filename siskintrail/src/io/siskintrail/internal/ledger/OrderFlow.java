package io.siskintrail.internal.ledger;

import io.siskintrail.internal.ledger.OpenOrder.Phase;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Drives the orders of one router: claim, dispatch, call, record. Equal keys in flight join.
 *
 * <p>A call is made only after the ledger has answered that its dispatch is committed, and once for
 * each committed dispatch. {@link OrderOutcome.NotRun} is told only while a granted claim has sent
 * nothing; from then on the claim is closed here, and this router is the only one that could send
 * under it. A request that came after that claim was proposed, or whose claim the ledger has not
 * answered, is told {@link OrderOutcome.Unavailable}, because an earlier request with the key may
 * have run.
 */
public class OrderFlow implements StateMachine<OrderInput, OrderEffect> {
    /** How often {@link OrderInput.Tick} is due. */
    public static final long TICK_MILLIS = 50;

    private static final long PROPOSAL_RETRY_MILLIS = 300;
    private static final long FIRST_POLL_MILLIS = 50;
    private static final long MAX_POLL_MILLIS = 1_000;
    private static final long RECORD_WAIT_MILLIS = 1_000;
    private static final long MAX_PROPOSAL_MILLIS = 60_000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_OPEN_ORDERS = 10_000;

    private final HostId host;
    private final long boot;
    private final EndpointPicker picker;
    private final Map<OrderKey, OpenOrder> open = new HashMap<>();
    private final Map<Long, OpenOrder> byProposal = new HashMap<>();
    private final Map<Long, OpenOrder> byCall = new HashMap<>();
    private final Map<Long, Epilogue> epilogues = new HashMap<>();
    private List<OrderEffect> effects;
    private long now;
    private long numbers;

    /**
     * Makes a flow without orders.
     *
     * @param host the host of this router
     * @param boot a number that differs for every start of this router
     * @param picker chooses endpoints; called from {@link #step}
     */
    public OrderFlow(HostId host, long boot, EndpointPicker picker) {
        this.host = host;
        this.boot = boot;
        this.picker = picker;
    }

    /** Returns the command that settles what earlier starts of this router left open. */
    public final LedgerCommand settleEarlierBoots() {
        return new LedgerCommand.SettleHost(host, boot);
    }

    /** Returns how many orders are being worked on or still being recorded. */
    public final int openOrders() {
        return open.size() + epilogues.size();
    }

    @Override
    public final List<OrderEffect> step(long nowMillis, OrderInput input) {
        now = nowMillis;
        effects = new ArrayList<>();
        if (input instanceof OrderInput.Submit s) {
            submit(s);
        } else if (input instanceof OrderInput.LedgerReplied r) {
            replied(r);
        } else if (input instanceof OrderInput.CallAnswered c) {
            answered(byCall.remove(c.call()), c.answer());
        } else if (input instanceof OrderInput.CallNotConnected c) {
            notConnected(byCall.remove(c.call()));
        } else if (input instanceof OrderInput.CallBroken c) {
            broken(byCall.remove(c.call()));
        } else {
            tick();
        }
        return effects;
    }

    private void submit(OrderInput.Submit s) {
        OpenOrder o = open.get(s.key());
        if (o != null && !o.digest.equals(s.digest())) {
            refuse(s.request(), new OrderOutcome.KeyReused());
            return;
        }
        if (o == null && open.size() >= MAX_OPEN_ORDERS) {
            refuse(s.request(), new OrderOutcome.Unavailable());
            return;
        }
        long wait = Math.min(s.waitMillis(), MAX_WAIT_MILLIS);
        OpenOrder.Waiter waiter = new OpenOrder.Waiter(s.request(), now + wait, ++numbers);
        if (o != null) {
            o.waiters.add(waiter);
            effects.add(new OrderEffect.Forget(s.request()));
            return;
        }
        OpenOrder fresh = new OpenOrder(s);
        fresh.waiters.add(waiter);
        open.put(s.key(), fresh);
        claimAnew(fresh);
    }

    private void refuse(long request, OrderOutcome outcome) {
        effects.add(new OrderEffect.Tell(request, outcome));
        effects.add(new OrderEffect.Forget(request));
    }

    private void claimAnew(OpenOrder o) {
        o.claim = new ClaimId(host, boot, ++numbers);
        o.attempt = 0;
        o.pollMillis = FIRST_POLL_MILLIS;
        claim(o);
    }

    private void claim(OpenOrder o) {
        o.phase = Phase.CLAIMING;
        o.grant = 0;
        propose(o, new LedgerCommand.Claim(o.key, o.claim, o.digest, o.terms.retentionMillis()));
    }

    private void propose(OpenOrder o, LedgerCommand command) {
        byProposal.remove(o.proposal);
        o.proposal = ++numbers;
        o.pending = command;
        o.wakeMillis = now + PROPOSAL_RETRY_MILLIS;
        byProposal.put(o.proposal, o);
        effects.add(new OrderEffect.Propose(o.proposal, command));
    }

    private void replied(OrderInput.LedgerReplied r) {
        if (epilogues.remove(r.proposal()) != null) {
            return;
        }
        OpenOrder o = byProposal.get(r.proposal());
        if (o == null || expired(o)) {
            return;
        }
        byProposal.remove(r.proposal());
        o.pending = null;
        switch (o.phase) {
            case CLAIMING -> claimReplied(o, r.answer());
            case DISPATCHING -> dispatchReplied(o, r.answer());
            case RECORDING -> finish(o, new OrderOutcome.Answered(o.answer, false));
            default -> throw new IllegalStateException("no proposal is due in " + o.phase);
        }
    }

    private void claimReplied(OpenOrder o, LedgerAnswer answer) {
        if (answer instanceof LedgerAnswer.Claimed) {
            o.grant = o.proposal;
            o.heldElsewhere = false;
            dispatchNext(o);
        } else if (answer instanceof LedgerAnswer.Running) {
            watch(o);
        } else if (answer instanceof LedgerAnswer.Done done) {
            finish(o, new OrderOutcome.Answered(done.answer(), true));
        } else if (answer instanceof LedgerAnswer.Unknown) {
            finish(o, new OrderOutcome.Unknown());
        } else if (answer instanceof LedgerAnswer.OtherContent) {
            finish(o, new OrderOutcome.KeyReused());
        } else if (answer instanceof LedgerAnswer.Full) {
            o.grant = o.proposal;
            finish(o, new OrderOutcome.NotRun(ResultCode.ORDER_LEDGER_FULL));
        } else {
            throw new IllegalStateException("a claim was answered by " + answer);
        }
    }

    private void watch(OpenOrder o) {
        o.phase = Phase.WATCHING;
        o.heldElsewhere = true;
        o.wakeMillis = now + o.pollMillis;
        o.pollMillis = Math.min(2 * o.pollMillis, MAX_POLL_MILLIS);
    }

    private void dispatchNext(OpenOrder o) {
        EndpointId endpoint =
                o.attempt < MAX_ATTEMPTS ? picker.pick(o.key.service(), o.tried) : null;
        if (endpoint == null) {
            ResultCode code =
                    o.attempt == 0 ? ResultCode.NO_ENDPOINT : ResultCode.ORDER_NOT_CONNECTED;
            close(o, new OrderOutcome.NotRun(code));
            return;
        }
        o.endpoint = endpoint;
        o.attempt++;
        o.phase = Phase.DISPATCHING;
        propose(
                o,
                new LedgerCommand.Dispatch(
                        o.key, o.claim, endpoint, o.attempt, o.terms.answerMillis()));
        if (callsBeforeCommit()) {
            call(o);
        }
    }

    private void dispatchReplied(OpenOrder o, LedgerAnswer answer) {
        if (answer instanceof LedgerAnswer.Dispatched) {
            call(o);
        } else {
            claimAnew(o);
        }
    }

    private void call(OpenOrder o) {
        byProposal.remove(o.proposal);
        o.pending = null;
        o.phase = Phase.CALLING;
        o.call = ++numbers;
        byCall.put(o.call, o);
        effects.add(
                new OrderEffect.Call(
                        o.call, o.firstRequest, o.key, o.endpoint, o.terms.answerMillis()));
    }

    private void answered(OpenOrder o, StoredAnswer answer) {
        if (o == null) {
            return;
        }
        o.answer = answer;
        o.phase = Phase.RECORDING;
        o.phaseEndMillis = now + MAX_PROPOSAL_MILLIS;
        propose(o, new LedgerCommand.Complete(o.key, o.claim, o.attempt, answer));
    }

    private void notConnected(OpenOrder o) {
        if (o == null) {
            return;
        }
        o.tried.add(o.endpoint);
        if (o.waiters.isEmpty()) {
            close(o, null);
        } else {
            o.phase = Phase.DISPATCHING;
            dispatchNext(o);
        }
    }

    private void broken(OpenOrder o) {
        if (o == null) {
            return;
        }
        proposeAfter(new LedgerCommand.MarkUnknown(o.key, o.claim, o.attempt));
        finish(o, outcomeOfBrokenCall());
    }

    /** Ends an order that has sent nothing and gives its claim back. */
    private void close(OpenOrder o, OrderOutcome outcome) {
        proposeAfter(new LedgerCommand.Release(o.key, o.claim, o.attempt));
        finish(o, outcome);
    }

    private void proposeAfter(LedgerCommand command) {
        long proposal = ++numbers;
        epilogues.put(
                proposal,
                new Epilogue(command, now + PROPOSAL_RETRY_MILLIS, now + MAX_PROPOSAL_MILLIS));
        effects.add(new OrderEffect.Propose(proposal, command));
    }

    private void finish(OpenOrder o, OrderOutcome outcome) {
        tellAll(o, outcome);
        open.remove(o.key);
        byProposal.remove(o.proposal);
        byCall.remove(o.call);
        effects.add(new OrderEffect.Forget(o.firstRequest));
    }

    private void tellAll(OpenOrder o, OrderOutcome outcome) {
        for (OpenOrder.Waiter w : o.waiters) {
            boolean unproven = outcome instanceof OrderOutcome.NotRun && w.joined() > o.grant;
            OrderOutcome own = unproven ? new OrderOutcome.Unavailable() : outcome;
            effects.add(new OrderEffect.Tell(w.request(), own));
        }
        o.waiters.clear();
    }

    private void tick() {
        for (OpenOrder o : List.copyOf(open.values())) {
            if (!expired(o)) {
                wake(o);
            }
        }
        retryEpilogues();
    }

    /** Tells the callers that stop waiting; returns whether that ended the order. */
    private boolean expired(OpenOrder o) {
        List<OpenOrder.Waiter> late =
                o.waiters.stream().filter(w -> w.deadlineMillis() <= now).toList();
        if (late.isEmpty()) {
            return false;
        }
        boolean last = late.size() == o.waiters.size();
        if (last && !o.maybeSent()) {
            close(o, outcomeOfExpiry(o));
            return true;
        }
        o.waiters.removeAll(late);
        late.forEach(
                w -> effects.add(new OrderEffect.Tell(w.request(), new OrderOutcome.InProgress())));
        return false;
    }

    private static OrderOutcome outcomeOfExpiry(OpenOrder o) {
        if (o.heldElsewhere) {
            return new OrderOutcome.InProgress();
        }
        return new OrderOutcome.NotRun(ResultCode.ORDER_NOT_STARTED);
    }

    private void wake(OpenOrder o) {
        if (o.phase == Phase.RECORDING && now >= o.phaseEndMillis) {
            finish(o, new OrderOutcome.Answered(o.answer, false));
            return;
        }
        boolean told = now >= o.phaseEndMillis - MAX_PROPOSAL_MILLIS + RECORD_WAIT_MILLIS;
        if (o.phase == Phase.RECORDING && told) {
            tellAll(o, new OrderOutcome.Answered(o.answer, false));
        }
        if (now < o.wakeMillis) {
            return;
        }
        if (o.phase == Phase.WATCHING) {
            claim(o);
        } else if (o.pending != null) {
            o.wakeMillis = now + PROPOSAL_RETRY_MILLIS;
            effects.add(new OrderEffect.Propose(o.proposal, o.pending));
        }
    }

    private void retryEpilogues() {
        Iterator<Map.Entry<Long, Epilogue>> all = epilogues.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Long, Epilogue> entry = all.next();
            Epilogue e = entry.getValue();
            if (now >= e.endMillis()) {
                all.remove();
            } else if (now >= e.wakeMillis()) {
                entry.setValue(e.retriedAt(now));
                effects.add(new OrderEffect.Propose(entry.getKey(), e.command()));
            }
        }
    }

    /** Returns false; overridden only by a faulty variant that the fuzzer must catch. */
    boolean callsBeforeCommit() {
        return false;
    }

    /** Returns what callers of a broken call are told; overridden only by a faulty variant. */
    OrderOutcome outcomeOfBrokenCall() {
        return new OrderOutcome.Unknown();
    }

    /** A command that is proposed after its order has ended here, until the ledger answers. */
    private record Epilogue(LedgerCommand command, long wakeMillis, long endMillis) {

        Epilogue retriedAt(long now) {
            return new Epilogue(command, now + PROPOSAL_RETRY_MILLIS, endMillis);
        }
    }
}
