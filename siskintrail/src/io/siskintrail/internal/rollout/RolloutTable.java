package io.siskintrail.internal.rollout;

import io.siskintrail.lib.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest rollout of each service, built from committed commands. The log may contain a command
 * more than once, and a disk that is opened again replays commands onto newer state. Both change
 * nothing: rollouts of a service are numbered, a start applies only with the next number, and a
 * rollout ends once. Not thread-safe.
 */
public final class RolloutTable {
    /**
     * Time after a start during which the same order counts as sent again, in milliseconds. Callers
     * send an order again for at most 5 s; the same time again covers the delay of a call.
     */
    static final long REPEAT_MILLIS = 10_000;

    private final TreeMap<ServiceName, Entry> entries = new TreeMap<>();

    /** How an order relates to the rollouts so far. */
    public enum Verdict {
        /** No rollout of the service runs; the order can start one. */
        STARTABLE,
        /** The order has already started the newest rollout of the service. */
        ACCEPTED,
        /** Another rollout of the service runs. */
        CONFLICT
    }

    /** A rollout, and when this host first held it, in monotonic milliseconds. */
    private record Entry(RolloutRecord rollout, long heldSinceMillis) {}

    /**
     * Applies a committed command.
     *
     * @param nowMillis monotonic time, which only affects {@link #judge}
     * @return the rollout that changed, empty if the command changed nothing
     */
    public Optional<RolloutRecord> apply(RolloutCommand command, long nowMillis) {
        if (command instanceof RolloutCommand.Start s) {
            RolloutRecord next = s.rollout();
            Entry held = entries.get(next.order().service());
            boolean startable =
                    held == null
                            ? next.number() == 1
                            : !held.rollout.isRunning()
                                    && next.number() == held.rollout.number() + 1;
            return startable && next.isRunning() ? put(next, nowMillis) : Optional.empty();
        }
        RolloutCommand.End end = (RolloutCommand.End) command;
        Entry held = entries.get(end.service());
        boolean endable =
                held != null && held.rollout.isRunning() && held.rollout.number() == end.number();
        return endable && end.status() != RolloutRecord.Status.RUNNING
                ? put(held.rollout.with(end.status()), held.heldSinceMillis)
                : Optional.empty();
    }

    /**
     * Takes over the rollouts of a snapshot that are newer than those held.
     *
     * @param nowMillis monotonic time, which only affects {@link #judge}
     * @return the rollouts that changed
     */
    public List<RolloutRecord> restore(List<RolloutRecord> rollouts, long nowMillis) {
        List<RolloutRecord> changed =
                rollouts.stream()
                        .filter(r -> get(r.order().service()).map(r::isNewerThan).orElse(true))
                        .toList();
        changed.forEach(r -> put(r, nowMillis));
        return changed;
    }

    /** Returns the newest rollout of a service, empty if there was none. */
    public Optional<RolloutRecord> get(ServiceName service) {
        return Optional.ofNullable(entries.get(service)).map(Entry::rollout);
    }

    /** Returns the newest rollout of each service, ordered by service. */
    public List<RolloutRecord> rollouts() {
        return entries.values().stream().map(Entry::rollout).toList();
    }

    /** Returns how {@code order} relates to the rollouts held at the monotonic time given. */
    public Verdict judge(RolloutOrder order, long nowMillis) {
        Entry held = entries.get(order.service());
        if (held == null) {
            return Verdict.STARTABLE;
        }
        boolean isSame = held.rollout.order().equals(order);
        if (held.rollout.isRunning()) {
            return isSame ? Verdict.ACCEPTED : Verdict.CONFLICT;
        }
        boolean isRecent = nowMillis - held.heldSinceMillis < REPEAT_MILLIS;
        return isSame && isRecent ? Verdict.ACCEPTED : Verdict.STARTABLE;
    }

    /**
     * Returns the command that starts a rollout, given that {@link #judge} allows it.
     *
     * @param unixMillis the current time in Unix milliseconds
     */
    public RolloutCommand.Start startCommand(RolloutOrder order, long unixMillis) {
        long number = get(order.service()).map(RolloutRecord::number).orElse(0L) + 1;
        return new RolloutCommand.Start(
                new RolloutRecord(order, number, unixMillis, RolloutRecord.Status.RUNNING));
    }

    private Optional<RolloutRecord> put(RolloutRecord rollout, long heldSinceMillis) {
        entries.put(rollout.order().service(), new Entry(rollout, heldSinceMillis));
        return Optional.of(rollout);
    }
}
