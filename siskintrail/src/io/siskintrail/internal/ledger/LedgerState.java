package io.siskintrail.internal.ledger;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.replicated.ReplicatedState;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The records of all orders. A record is never dropped before its retention ends: when the ledger
 * is full, new orders are refused.
 *
 * <p>Time is the one that the leader stamps on each entry; every command first ends the states
 * whose deadline has passed.
 */
public class LedgerState implements ReplicatedState<LedgerCommand, LedgerAnswer, LedgerImage> {
    private static final LedgerAnswer ACCEPTED = new LedgerAnswer.Accepted();
    private static final LedgerAnswer REFUSED = new LedgerAnswer.Refused();

    private final LedgerLimits limits;
    private final Map<OrderKey, OrderRecord> records = new HashMap<>();
    private final TreeSet<Deadline> deadlines = new TreeSet<>(Deadline.ORDER);
    private final Map<HostId, Set<OrderKey>> openByHost = new HashMap<>();
    private long answerBytes;

    /** Makes an empty ledger with the default limits. */
    public LedgerState() {
        this(LedgerLimits.DEFAULT);
    }

    /** Makes an empty ledger. */
    public LedgerState(LedgerLimits limits) {
        this.limits = limits;
    }

    @Override
    public final LedgerAnswer apply(LogPosition position, long atMillis, LedgerCommand command) {
        expire(atMillis);
        if (command instanceof LedgerCommand.Claim c) {
            return claim(atMillis, c);
        }
        if (command instanceof LedgerCommand.Dispatch c) {
            return dispatch(atMillis, c);
        }
        if (command instanceof LedgerCommand.Complete c) {
            return complete(atMillis, c);
        }
        if (command instanceof LedgerCommand.MarkUnknown c) {
            return markUnknown(atMillis, c);
        }
        if (command instanceof LedgerCommand.Release c) {
            return release(c);
        }
        return settle(atMillis, (LedgerCommand.SettleHost) command);
    }

    @Override
    public final LedgerImage image() {
        return new LedgerImage(new ArrayList<>(new TreeMap<>(records).values()));
    }

    @Override
    public final void restore(LedgerImage image) {
        records.clear();
        deadlines.clear();
        openByHost.clear();
        answerBytes = 0;
        image.records().forEach(this::put);
    }

    /** Returns the record of an order, or null when there is none. */
    public final OrderRecord find(OrderKey key) {
        return records.get(key);
    }

    /** Returns the number of records. */
    public final int size() {
        return records.size();
    }

    /** Returns the bytes of all kept bodies. */
    public final long answerBytes() {
        return answerBytes;
    }

    private LedgerAnswer claim(long atMillis, LedgerCommand.Claim c) {
        OrderRecord r = records.get(c.key());
        if (r == null || canBeClaimed(r)) {
            return grant(atMillis, c, r);
        }
        if (!r.digest().equals(c.digest())) {
            return new LedgerAnswer.OtherContent();
        }
        return switch (r.state()) {
            case CLAIMED ->
                    r.claim().equals(c.claim())
                            ? new LedgerAnswer.Claimed()
                            : new LedgerAnswer.Running(r.claim(), false);
            case DISPATCHED -> new LedgerAnswer.Running(r.claim(), true);
            case DONE -> new LedgerAnswer.Done(r.answer());
            case UNKNOWN -> new LedgerAnswer.Unknown();
        };
    }

    private LedgerAnswer grant(long atMillis, LedgerCommand.Claim c, OrderRecord old) {
        if (old == null && records.size() >= limits.maxRecords()) {
            return new LedgerAnswer.Full();
        }
        put(
                new OrderRecord(
                        c.key(),
                        c.claim(),
                        c.digest(),
                        OrderState.CLAIMED,
                        null,
                        0,
                        null,
                        limits.retention(c.retentionMillis()),
                        atMillis + limits.claimMillis()));
        return new LedgerAnswer.Claimed();
    }

    private LedgerAnswer dispatch(long atMillis, LedgerCommand.Dispatch c) {
        OrderRecord r = heldBy(c.key(), c.claim());
        if (r == null || !r.isOpen() || c.attempt() < 1 || c.attempt() < r.attempt()) {
            return REFUSED;
        }
        if (c.attempt() > r.attempt()) {
            put(r.dispatched(c.endpoint(), c.attempt(), atMillis + c.answerMillis()));
        }
        return new LedgerAnswer.Dispatched(c.attempt());
    }

    private LedgerAnswer complete(long atMillis, LedgerCommand.Complete c) {
        OrderRecord r = heldBy(c.key(), c.claim());
        if (r == null || r.attempt() != c.attempt() || c.attempt() == 0) {
            return REFUSED;
        }
        if (r.state() != OrderState.DONE) {
            long deadline = atMillis + r.retentionMillis();
            put(r.ended(OrderState.DONE, bounded(c.answer()), deadline));
        }
        return ACCEPTED;
    }

    private LedgerAnswer markUnknown(long atMillis, LedgerCommand.MarkUnknown c) {
        OrderRecord r = heldBy(c.key(), c.claim());
        if (r == null || r.state() != OrderState.DISPATCHED || r.attempt() != c.attempt()) {
            return REFUSED;
        }
        putUnknown(atMillis, r);
        return ACCEPTED;
    }

    private LedgerAnswer release(LedgerCommand.Release c) {
        OrderRecord r = heldBy(c.key(), c.claim());
        if (r == null || !canBeReleased(r, c)) {
            return REFUSED;
        }
        remove(r);
        return ACCEPTED;
    }

    private LedgerAnswer settle(long atMillis, LedgerCommand.SettleHost c) {
        for (OrderKey key : List.copyOf(openByHost.getOrDefault(c.host(), Set.of()))) {
            OrderRecord r = records.get(key);
            if (r.claim().boot() != c.currentBoot()) {
                settle(atMillis, r);
            }
        }
        return ACCEPTED;
    }

    private void settle(long atMillis, OrderRecord r) {
        if (mayHaveBeenSent(r)) {
            putUnknown(atMillis, r);
        } else {
            remove(r);
        }
    }

    private void putUnknown(long atMillis, OrderRecord r) {
        long kept = Math.max(limits.minUnknownMillis(), r.retentionMillis());
        put(r.ended(OrderState.UNKNOWN, null, atMillis + kept));
    }

    /** Returns whether a new claim may replace {@code r}; overridden only by faulty variants. */
    boolean canBeClaimed(OrderRecord r) {
        return false;
    }

    /** Returns whether the holder may give {@code r} back; overridden only by faulty variants. */
    boolean canBeReleased(OrderRecord r, LedgerCommand.Release c) {
        return r.isOpen() && r.attempt() <= c.attempt();
    }

    /** Returns whether an endpoint may have got {@code r}; overridden only by faulty variants. */
    boolean mayHaveBeenSent(OrderRecord r) {
        return r.state() == OrderState.DISPATCHED;
    }

    private void expire(long atMillis) {
        while (!deadlines.isEmpty() && deadlines.first().millis() <= atMillis) {
            OrderRecord r = records.get(deadlines.first().key());
            if (r.isOpen()) {
                settle(r.deadlineMillis(), r);
            } else {
                remove(r);
            }
        }
    }

    private StoredAnswer bounded(StoredAnswer answer) {
        int size = answer.body().length;
        boolean fits =
                size <= limits.maxAnswerBytes()
                        && answerBytes + size <= limits.maxTotalAnswerBytes();
        return fits ? answer : answer.withoutBody();
    }

    private OrderRecord heldBy(OrderKey key, ClaimId claim) {
        OrderRecord r = records.get(key);
        return r != null && r.claim().equals(claim) ? r : null;
    }

    private void put(OrderRecord r) {
        OrderRecord old = records.get(r.key());
        if (old != null) {
            remove(old);
        }
        records.put(r.key(), r);
        deadlines.add(new Deadline(r.deadlineMillis(), r.key()));
        answerBytes += r.answerBytes();
        if (r.isOpen()) {
            openByHost.computeIfAbsent(r.claim().host(), h -> new HashSet<>()).add(r.key());
        }
    }

    private void remove(OrderRecord r) {
        records.remove(r.key());
        deadlines.remove(new Deadline(r.deadlineMillis(), r.key()));
        answerBytes -= r.answerBytes();
        HostId host = r.claim().host();
        Set<OrderKey> open = openByHost.get(host);
        if (open != null && open.remove(r.key()) && open.isEmpty()) {
            openByHost.remove(host);
        }
    }

    private record Deadline(long millis, OrderKey key) {
        static final Comparator<Deadline> ORDER =
                Comparator.comparingLong(Deadline::millis).thenComparing(Deadline::key);
    }
}
